"""Gauges of a router's copy of the platform's store, and of its share of permits."""

from mulberryhub.base.tasks import task_failures
from mulberryhub.fleet.state import UNKNOWN_POSITION, Topic


def add_gauges(counters, fleet_state, followers, removals, coordinator_share):
    """Add gauges of topic ages, positions, store calls, delayed removals and permits.

    Ages and durations are in ms.
    """
    counters.add_gauge(
        "topic_age_ms",
        "Time since the topic was known to be current, -1 if never",
        {topic: _age_reader(fleet_state, topic) for topic in Topic},
    )
    counters.add_gauge(
        "topic_position",
        "Offset of the next record, -1 if nothing is known",
        {topic: _position_reader(fleet_state, topic) for topic in Topic},
    )
    counters.add_gauge(
        "call_pending_ms",
        "Duration of the call to the store that is on its way",
        {follower.topic: follower.call_duration for follower in followers},
    )
    counters.add_gauge(
        "removals_held",
        "Removals that wait after an outage",
        {Topic.UPSTREAMS: removals.delayed_count},
    )
    counters.add_gauge(
        "permit_share",
        "Share of the rates of limited upstreams that this router may issue",
        {Topic.UPSTREAMS: coordinator_share.current},
    )

    counters.add_gauge(
        "task_failures",
        "Unhandled exceptions in tasks; long-running tasks are started again",
        {"all": lambda: task_failures.count},
    )


def add_speed_gauges(counters, speeds):
    """Add gauges of the upstreams that differ from the usual speed, and of speeds."""

    def read_speeds():
        return speeds.speeds_by_id().values()

    counters.add_gauge(
        "upstreams_by_speed",
        "Upstreams that are slower or faster than usual by a third or more",
        {
            "slow": lambda: sum(speed < 1 for speed in read_speeds()),
            "fast": lambda: sum(speed > 1 for speed in read_speeds()),
        },
    )
    counters.add_gauge(
        "upstream_speed",
        "Lowest and highest speed of an upstream, 1 being that usual at its service",
        {
            "lowest": lambda: min(read_speeds(), default=1),
            "highest": lambda: max(read_speeds(), default=1),
        },
    )


def _age_reader(fleet_state, topic):
    def read_age():
        age = fleet_state.age(topic)
        return UNKNOWN_POSITION if age is None else age

    return read_age


def _position_reader(fleet_state, topic):
    return lambda: fleet_state.position_by_topic[topic]
