"""Selects the software versions that a request may go to while a service is released.

Addresses two failures: a bad version that receives more than its share of the requests,
and a router that goes on with a share from which the others have moved on.
"""

from random import random

from mulberryhub.fleet.records import UpstreamState
from mulberryhub.forward.stream_versions import accept_all
from mulberryhub.releases.exposure import observed_upstreams

ANY_VERSION = (accept_all,)


class ReleaseFilter:
    """Decides which upstreams may serve a job, by the release of its service.

    `draw()` returns a random number from 0 to 1, one for each job.
    """

    __slots__ = ("_fleet_state", "_draw", "_revision", "_exposed_ids_by_service")

    def __init__(self, fleet_state, draw=random):
        self._fleet_state = fleet_state
        self._draw = draw
        self._revision = None
        self._exposed_ids_by_service = {}

    def filters_for(self, job):
        """Return functions `accepts(upstream)`, the later ones if no upstream is left.

        A share of the requests goes to the target, or else to the other versions; all
        others go to the other versions only. A retry after a failure at the target goes
        to another version, unless its stream began at the target.
        """
        rule = self._fleet_state.releases.version_rule(job.service.name)
        if rule is None:
            return ANY_VERSION
        if rule.target is None:
            return (lambda upstream: upstream.software_version not in rule.excluded,)
        if job.stream_version is not None:
            return (lambda upstream: _may_continue(upstream.software_version, rule),)

        def is_other(upstream):
            version = upstream.software_version
            return version != rule.target and version not in rule.excluded

        if rule.is_lenient:
            return (is_other, accept_all)
        if job.release_draw is None:
            job.release_draw = self._draw()
        if job.has_failed_at_target or job.release_draw >= rule.share:
            return (is_other,)
        exposed_ids = self._exposed_ids(job.service.name, rule)
        return (lambda upstream: upstream.id in exposed_ids, is_other)

    def record_failure(self, job, upstream):
        """Record that an attempt failed at `upstream`."""
        rule = self._fleet_state.releases.version_rule(job.service.name)
        if rule is not None and rule.target == upstream.software_version:
            job.has_failed_at_target = True

    def _exposed_ids(self, service, rule):
        """Return the ids of the upstreams that receive the target's requests."""
        if self._revision != self._fleet_state.revision:
            self._revision = self._fleet_state.revision
            self._exposed_ids_by_service = {}
        ids = self._exposed_ids_by_service.get(service)
        if ids is None:
            ready = [
                upstream.id
                for upstream in self._fleet_state.upstreams_by_id.values()
                if upstream.service == service
                and upstream.software_version == rule.target
                and upstream.state is UpstreamState.READY
                and not self._fleet_state.is_shutting_down(upstream)
            ]
            ids = frozenset(observed_upstreams(ready, rule.upstreams, rule.turn))
            self._exposed_ids_by_service[service] = ids
        return ids


def _may_continue(version, rule):
    """Return whether a stream that began at `version` may continue there."""
    if version == rule.target:
        return rule.share > 0
    return version not in rule.excluded
