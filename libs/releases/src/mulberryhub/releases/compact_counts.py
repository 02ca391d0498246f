"""Shortens the keys of counts, which each router sends several times a second.

A decision distinguishes the target from all other versions only, and an order is known
by the offset of its record, so service and version need not be sent.
"""

from urllib.parse import quote

from mulberryhub.fleet.store import offset_of
from mulberryhub.releases.outcomes import Outcomes

TARGET, OTHERS = "+", "-"


def compact_counts(counts, states):
    """Return the `counts` of an OutcomeRecorder with short keys.

    `states` are the ReleaseStates of the running releases; other counts are left out.
    """
    target_by_prefix = {
        _prefix(state): (offset_of(state.release), quote(state.target, safe=""))
        for state in states
    }
    totals = {}
    for key, count in counts.items():
        service, release, version, group, measure = key.split("/")
        known = target_by_prefix.get((service, release))
        if known is None:
            continue
        offset, target = known
        side = TARGET if version == target else OTHERS
        short = f"{offset}{side}{group}{measure}"
        totals[short] = totals.get(short, 0) + count
    return totals


def read_outcomes(counts, release):
    """Return the Outcomes of a release, a ReleaseState or SavedRelease, in `counts`."""
    service, target, id = release.service, release.target, release.release
    prefix = f"{quote(service, safe='')}/{id}"
    name_by_start = {
        f"{offset_of(id)}{TARGET}": quote(target, safe=""),
        f"{offset_of(id)}{OTHERS}": "",
    }
    expanded = {}
    for key, count in counts.items():
        for start, name in name_by_start.items():
            if key.startswith(start):
                rest = key[len(start) :]
                expanded[f"{prefix}/{name}/{rest[:1]}/{rest[1:]}"] = count
    return Outcomes.from_counts(expanded, service, target, id)


def _prefix(state):
    return quote(state.service, safe=""), str(state.release)
