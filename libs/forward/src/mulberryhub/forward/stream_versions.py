"""Keeps each resumable stream at the software version that began it.

What upstreams of two software versions write does not fit together, and upstreams do
not check that. A stream without its first event may begin at any of them.

An upstream may start again under its id with another version. Its record describes the
process at the other end of a connection if it was read after that was opened: a start
would have closed the connection. So a stream goes on only once such a read shows which
version began it, and which one would go on.
"""

from random import uniform

from mulberryhub.base.green import sleep
from mulberryhub.base.logs import module_logger
from mulberryhub.fleet.state import Topic
from mulberryhub.fleet.stream_origins import OriginUnknown
from mulberryhub.forward.refusal import Reason, Refusal
from mulberryhub.http.messages import ResponseBroken

MIN_RETRY_AFTER_MS = 300
MAX_RETRY_AFTER_MS = 900  # spreads the clients that come back after a common failure
MAX_WAIT_MS = 1_300  # for a read of the upstreams' records
WAIT_STEP_MS = 20

log = module_logger(__name__)


class StreamVersion:
    """The software version at which a stream must go on; None is an unknown one."""

    __slots__ = ("software_version",)

    def __init__(self, software_version):
        self.software_version = software_version


class StreamSource:
    """The record of an upstream, and when the connection to it was opened (ms)."""

    __slots__ = ("upstream", "connected_at")

    def __init__(self, upstream, connected_at):
        self.upstream = upstream
        self.connected_at = connected_at


class StreamVersions:
    """Decides which upstreams may begin a stream or go on with it.

    `origins` are the StreamOrigins; `fleet_state` lists the upstreams. `pause(s)` waits
    between two looks at them.
    """

    __slots__ = ("_origins", "_fleet_state", "_clock", "_pause")

    def __init__(self, origins, fleet_state, clock, pause=sleep):
        self._origins = origins
        self._fleet_state = fleet_state
        self._clock = clock
        self._pause = pause

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

    def record_first_event(self, job, upstream, connected_at):
        """Record the upstream that sent the first event, before the client gets it.

        Raise ResponseBroken if the upstream was restarted with another version since it
        was chosen, so that it is not known which one sent the event. Where a stream
        goes on, this waits until it is known.
        """
        if not job.is_resumable_stream:
            return
        self._check_version(upstream)
        source = StreamSource(upstream, connected_at)
        if job.stream_version is not None:
            if not self._is_certain(source, job.deadline):
                raise ResponseBroken("the software version is not known for certain")
            return
        if not self._is_read_since(connected_at):
            job.stream_origin = source
        job.stream_version = StreamVersion(upstream.software_version)
        if job.call.id is not None:
            self._origins.record_begun(
                job.service.name,
                _attempt_key(job, job.call.id),
                upstream.software_version,
            )

    def is_origin_certain(self, job):
        """Return whether `job` may go on: it is certain which version began it here.

        This may wait for a read of the records. Otherwise the stream is not to be taken
        up either.
        """
        source = job.stream_origin
        if source is None or self._is_certain(source, job.deadline):
            return True
        log.warning(
            "stream of an uncertain software version",
            request=job.call.id,
            upstream=source.upstream.id,
        )
        if job.call.id is not None:
            key = _attempt_key(job, job.call.id)
            self._origins.record_uncertain(job.service.name, key)
        return False

    def _is_certain(self, source, deadline):
        """Return whether the record of `source` describes the process that answered.

        Wait until the records were read after the connection was opened, or until
        `deadline` (ms).
        """
        deadline = min(deadline, self._clock.now() + MAX_WAIT_MS)
        while not self._is_read_since(source.connected_at):
            if self._clock.now() >= deadline:
                return False
            self._pause(WAIT_STEP_MS / 1_000)
        upstream = source.upstream
        known = self._fleet_state.upstreams_by_id.get(upstream.id, upstream)
        return known.software_version == upstream.software_version

    def _is_read_since(self, time):
        age = self._fleet_state.age(Topic.UPSTREAMS)
        return age is not None and self._clock.now() - age >= time

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


def accept_both(first, second):
    """Return a filter that accepts what both filters accept."""
    if second is accept_all:
        return first
    return lambda upstream: first(upstream) and second(upstream)
