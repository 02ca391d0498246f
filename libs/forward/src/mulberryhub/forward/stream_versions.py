"""Keeps each resumable stream at the software version that began it.

What upstreams of two software versions write does not fit together, and upstreams do
not check that. A stream without its first event may begin at any of them.
"""

from random import uniform

from mulberryhub.base.logs import module_logger
from mulberryhub.fleet.stream_origins import OriginUnknown
from mulberryhub.forward.refusal import Reason, Refusal
from mulberryhub.http.messages import ResponseBroken

MIN_RETRY_AFTER_MS = 300
MAX_RETRY_AFTER_MS = 900  # spreads the clients that come back after a common failure

log = module_logger(__name__)


class StreamVersion:
    """The software version at which a stream must go on; None is an unknown one."""

    __slots__ = ("software_version",)

    def __init__(self, software_version):
        self.software_version = software_version


class StreamVersions:
    """Decides which upstreams may begin a stream or go on with it.

    `origins` are the StreamOrigins; `fleet_state` lists the upstreams.
    """

    __slots__ = ("_origins", "_fleet_state")

    def __init__(self, origins, fleet_state):
        self._origins = origins
        self._fleet_state = fleet_state

    def find_origin(self, job):
        """Set the version of a stream that the client takes up, or raise Refusal."""
        if not job.is_taken_up:
            return
        attempt_id = job.call.resumed_attempt_id
        try:
            origin = self._origins.find(job.service.name, _attempt_key(job, attempt_id))
        except OriginUnknown as error:
            raise final_refusal(Reason.STREAM_ORIGIN_UNKNOWN) from error
        log.info(
            "stream taken up",
            request=job.call.id,
            resumes=attempt_id,
            software_version=origin.software_version,
            is_any=origin.is_any,
        )
        job.stream_version = StreamVersion(origin.software_version)

    def filter_for(self, job):
        """Return the function that returns whether an upstream may serve `job` now."""
        if not job.is_resumable_stream:
            return accept_all
        if job.stream_version is not None:
            version = job.stream_version.software_version
            return lambda upstream: upstream.software_version == version
        return self._begin_filter(job.service.name)

    def time_until_begin(self, job):
        """Return the ms until `job` may begin, if all ready versions are too new."""
        return self._origins.time_until_begin(job.service.name)

    def record_first_event(self, job, upstream):
        """Record the upstream that sent the first event, before the client gets it.

        Raise ResponseBroken if the upstream was restarted with another version since it
        was chosen, so that it is not known which one sent the event.
        """
        if not job.is_resumable_stream:
            return
        self._check_version(upstream)
        if job.stream_version is not None:
            return
        job.stream_version = StreamVersion(upstream.software_version)
        if job.call.id is not None:
            self._origins.record_begun(
                job.service.name,
                _attempt_key(job, job.call.id),
                upstream.software_version,
            )

    def _check_version(self, upstream):
        known = self._fleet_state.upstreams_by_id.get(upstream.id, upstream)
        if known.software_version != upstream.software_version:
            raise ResponseBroken("the software version of the upstream has changed")

    def _begin_filter(self, service):
        may_begin_by_version = {}

        def may_begin(upstream):
            version = upstream.software_version
            if version not in may_begin_by_version:
                may_begin_by_version[version] = self._origins.may_begin(
                    service, version
                )
            return may_begin_by_version[version]

        return may_begin


def _attempt_key(job, attempt_id):
    """Return the key of an attempt; clients of two workspaces may use one id."""
    if attempt_id is None or job.workspace is None:
        return attempt_id
    return f"{job.workspace.name} {attempt_id}"


def final_refusal(reason):
    """Return the Refusal of a stream that cannot go on anywhere."""
    return Refusal(reason, uniform(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS))


def accept_all(upstream):
    """Return that any upstream may serve a job."""
    return True
