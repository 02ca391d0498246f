"""What a new decider knows of a release: from the store, and from other routers."""

from mulberryhub.fleet.release_records import ReleaseStatus
from mulberryhub.fleet.saved_releases import SavedRelease


def newest_release(current, saved, known, wall, now):
    """Return the SavedRelease from which a decider goes on, or None.

    `current` is this router's own, `saved` the store's and `known` the KnownState. A
    store that came back from an older copy may lack the newest one, and a release that
    is known to have ended has ended.
    """
    if current is not None:
        return current
    if known is None:
        return saved
    state = known.state
    if saved is None or state.order_offset > saved.order_offset:
        return _saved_from(state, wall - known.order_age(now))
    is_end_lost = (
        state.order_offset == saved.order_offset
        and saved.state is ReleaseStatus.RUNNING
        and not state.is_running
    )
    return _saved_from(state, saved.seen_at) if is_end_lost else saved


def order_ages(releases, service, before, wall, now):
    """Return the ms since the order of a service, and since that of `before`.

    The latter is counted by monotonic clocks where other routers told it, as the wall
    clock of another VM may differ.
    """
    order_age = releases.order_age(service)
    known = releases.known(service)
    if before is None:
        return order_age, order_age
    if known is not None and known.state.release == before.release:
        return order_age, known.order_age(now)
    return order_age, max(0, wall - before.seen_at)


def _saved_from(state, seen_at):
    return SavedRelease(
        state.service,
        state.target,
        state.order_offset,
        state.release,
        state.state,
        seen_at=seen_at,
        duration=state.duration,
        excluded_versions=state.excluded_versions,
        initial_versions=state.initial_versions,
        reason=state.reason,
    )
