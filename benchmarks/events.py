"""Measures how many events of upstreams' streams the decoder takes in a second.

Run `python -m benchmarks.events`. Streams arrive with one event a read, with several
events a read, and with each event split over two reads. An event is decoded and joined
with the others of its read, as the relay does; nothing is sent.
"""

import time

from mulberryhub.forward.events import EventDecoder

EVENT_COUNT = 100_000  # of each measurement
ROUNDS = 3  # the fastest one is printed
EVENTS_PER_READ = 20
SPLIT_AT = 9  # bytes of an event in the first of two reads
HEADER = b"x-version"
US_PER_S = 1_000_000


def make_events():
    """Return the events of a stream, with one short line of data each."""
    return [
        b"id: %d\ndata: token %d\n\n" % (id, id) for id in range(1, EVENT_COUNT + 1)
    ]


def one_event_a_read(events):
    """Return the reads of a stream of which each brings one event."""
    return events


def several_events_a_read(events):
    """Return the reads of a stream of which each brings EVENTS_PER_READ events."""
    starts = range(0, len(events), EVENTS_PER_READ)
    return [b"".join(events[start : start + EVENTS_PER_READ]) for start in starts]


def event_split_over_two_reads(events):
    """Return the reads of a stream in which two bring one event."""
    return [piece for event in events for piece in (event[:SPLIT_AT], event[SPLIT_AT:])]


def measure(reads, make_decoder):
    """Return the processor time in s in which `reads` are decoded."""
    decoder = make_decoder()
    event_count = 0
    started = time.process_time()
    for data in reads:
        events = decoder.feed(data)
        if events:
            b"".join(event.data for event in events)
            event_count += len(events)
    seconds = time.process_time() - started
    assert event_count == EVENT_COUNT
    return seconds


def main(make_decoder=lambda: EventDecoder(HEADER)):
    """Print the events a second and the processor time of an event, for each way."""
    events = make_events()
    for split in (one_event_a_read, several_events_a_read, event_split_over_two_reads):
        reads = split(events)
        seconds = min(measure(reads, make_decoder) for _ in range(ROUNDS))
        print(
            f"{split.__name__:28} {EVENT_COUNT / seconds:9,.0f} events/s"
            f"  {seconds / EVENT_COUNT * US_PER_S:5.2f} µs of processor time an event"
        )


if __name__ == "__main__":
    main()
