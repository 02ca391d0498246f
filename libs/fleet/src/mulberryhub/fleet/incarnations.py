"""Orders incarnations of an upstream, which may start again under its id.

An incarnation is identified by the wall time of its start. These times have no reliable
order, as the clock of the upstream's VM may be stepped between two starts. The offsets
of the records that the incarnations wrote in the store have.
"""

UNKNOWN_OFFSET = -1  # in records of routers of earlier builds, which tell none


def is_later(one, other):
    """Return whether record `one` is of a later incarnation than record `other`.

    Both have `started` and the `offset` of a record that their incarnation wrote.
    """
    if one.started == other.started:
        return False
    if UNKNOWN_OFFSET in (one.offset, other.offset):
        return one.started > other.started
    return one.offset > other.offset
