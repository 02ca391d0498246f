"""Resumable streams while upstreams of several software versions serve."""

import pytest

from mulberryhub.base.clock import ManualClock
from mulberryhub.fleet.records import RequestKind, Workspace
from mulberryhub.fleet.state import FleetState, Topic
from mulberryhub.fleet.stream_origins import OriginUnknown, StreamOrigin
from mulberryhub.forward.job import Job
from mulberryhub.forward.refusal import Reason, Refusal
from mulberryhub.forward.stream_versions import StreamVersion, StreamVersions
from mulberryhub.http.messages import ResponseBroken
from tests.forward.attempt_fixture import (
    BROKEN,
    NOT_RUN,
    OK,
    Fixture,
    RememberedOrigins,
)
from tests.forward.fakes import make_call, make_route, make_service, make_upstream

OLD, NEW = "4.1", "4.2"
CONNECTED_AT = 9_000  # before the read of a View
ANY = StreamOrigin(OLD, is_any=True)


class FakeOrigins:
    """Origins of which `origin` is found, and `barred` may not begin streams."""

    def __init__(self, origin=None, barred=()):
        self.origin = origin
        self.barred = barred
        self.asked = []
        self.begun = []
        self.uncertain = []

    def find(self, service, attempt_id):
        self.asked.append((service, attempt_id))
        if self.origin is None:
            raise OriginUnknown
        return self.origin

    def record_begun(self, service, attempt_id, software_version):
        self.begun.append((service, attempt_id, software_version))

    def record_uncertain(self, service, attempt_id):
        self.uncertain.append((service, attempt_id))

    def may_begin(self, service, software_version):
        return software_version not in self.barred


class View:
    """The upstreams as read at some time, which goes on by `pause(s)`."""

    def __init__(self, *upstreams):
        self.clock = ManualClock(now=10_000)
        self.fleet_state = FleetState(self.clock)
        self.pending_reads = {}
        self.read(*upstreams)

    def read(self, *upstreams):
        for upstream in upstreams:
            self.fleet_state.apply(upstream)
        self.fleet_state.mark_read_up_to(Topic.UPSTREAMS, 1, self.clock.now())

    def pause(self, seconds):
        self.clock.advance(int(seconds * 1_000))
        for at in [at for at in self.pending_reads if at <= self.clock.now()]:
            self.read(*self.pending_reads.pop(at))


def make_stream_versions(origins, *upstreams, view=None):
    view = view or View(*upstreams)
    return StreamVersions(origins, view.fleet_state, view.clock, view.pause)


def make_job(is_resumption=False, kind=RequestKind.STREAMING, is_resumable=True):
    call = make_call()
    call.is_resumption = is_resumption
    call.resumed_attempt_id = "id-0" if is_resumption else None
    route = make_route(kind, is_resumable=is_resumable)
    return Job(call, route, make_service(), None, 15_000)


def accepted(stream_versions, job, versions=(OLD, NEW, None)):
    accepts = stream_versions.filter_for(job)
    return [
        version
        for version in versions
        if accepts(make_upstream("u", software_version=version))
    ]


def resumable_fixture(outcomes, software_versions, max_attempts=2):
    return Fixture(
        outcomes,
        RequestKind.STREAMING,
        software_versions,
        is_resumable=True,
        max_attempts=max_attempts,
    )


@pytest.mark.parametrize("version", [OLD, None])
def test_stream_goes_on_only_at_the_version_of_its_first_event(version):
    origins, job = FakeOrigins(), make_job()
    stream_versions = make_stream_versions(origins)
    assert accepted(stream_versions, job) == [OLD, NEW, None]
    for each in (version, NEW):
        upstream = make_upstream("u", software_version=each)
        stream_versions.record_first_event(job, upstream, CONNECTED_AT)
    assert accepted(stream_versions, job) == [version]
    assert origins.begun == [("llm", "id-1", version)]


@pytest.mark.parametrize(
    "kind, is_resumable",
    [(RequestKind.STREAMING, False), (RequestKind.IDEMPOTENT, True)],
)
def test_other_requests_go_to_any_version_and_are_not_recorded(kind, is_resumable):
    origins = FakeOrigins(barred=(NEW,))
    job = make_job(is_resumption=True, kind=kind, is_resumable=is_resumable)
    stream_versions = make_stream_versions(origins)
    stream_versions.find_origin(job)
    stream_versions.record_first_event(
        job, make_upstream("u", software_version=OLD), CONNECTED_AT
    )
    assert accepted(stream_versions, job) == [OLD, NEW, None]
    assert (origins.asked, origins.begun) == ([], [])


def test_new_streams_do_not_begin_at_a_version_that_may_not_begin_any():
    stream_versions = make_stream_versions(FakeOrigins(barred=(NEW,)))
    assert accepted(stream_versions, make_job()) == [OLD, None]


def test_stream_goes_on_at_a_version_that_may_not_begin_any():
    stream_versions = make_stream_versions(
        FakeOrigins(StreamOrigin(NEW), barred=(NEW,))
    )
    job = make_job(is_resumption=True)
    stream_versions.find_origin(job)
    assert accepted(stream_versions, job) == [NEW]


@pytest.mark.parametrize("version", [OLD, None])
def test_stream_taken_up_goes_on_at_the_version_that_began_it(version):
    origins, job = FakeOrigins(StreamOrigin(version)), make_job(is_resumption=True)
    stream_versions = make_stream_versions(origins)
    stream_versions.find_origin(job)
    assert origins.asked == [("llm", "id-0")]
    assert accepted(stream_versions, job) == [version]
    stream_versions.record_first_event(
        job, make_upstream("u", software_version=version), CONNECTED_AT
    )
    assert origins.begun == []


@pytest.mark.parametrize("required", [None, StreamVersion(OLD)])
def test_event_of_an_upstream_that_changed_its_version_is_not_relayed(required):
    origins, job = FakeOrigins(), make_job()
    job.stream_version = required
    stream_versions = make_stream_versions(
        origins, make_upstream("u", 2, software_version=NEW)
    )
    with pytest.raises(ResponseBroken):
        stream_versions.record_first_event(
            job, make_upstream("u", 1, software_version=OLD), CONNECTED_AT
        )
    assert job.stream_version is required
    assert origins.begun == []


def test_new_stream_asks_for_no_origin():
    origins = FakeOrigins()
    make_stream_versions(origins).find_origin(make_job())
    assert origins.asked == []


def test_take_up_of_a_uniform_service_accepts_no_version_that_is_new_meanwhile():
    stream_versions = make_stream_versions(FakeOrigins(ANY))
    job = make_job(is_resumption=True)
    stream_versions.find_origin(job)
    assert accepted(stream_versions, job) == [OLD]


def test_stream_of_unknown_origin_is_refused_with_a_retry_time():
    with pytest.raises(Refusal) as refused:
        make_stream_versions(FakeOrigins()).find_origin(make_job(is_resumption=True))
    assert refused.value.reason is Reason.STREAM_ORIGIN_UNKNOWN
    assert refused.value.reason.status == 503
    assert refused.value.retry_after > 0


def test_failover_before_the_first_event_may_go_to_another_version():
    fixture = resumable_fixture([BROKEN, OK], [OLD, NEW])
    assert fixture.run() == 200
    assert fixture.sent == [BROKEN, OK]


def test_failover_after_an_event_ends_the_stream_without_its_version():
    fixture = resumable_fixture([OK, OK], [OLD, NEW])
    exchange = fixture.attempt_runner.run(fixture.job)
    fixture.attempt_runner.record_first_event(fixture.job, exchange)
    fixture.attempt_runner.record_broken_answer(
        fixture.job, exchange, ResponseBroken("reset")
    )
    with pytest.raises(Refusal) as refused:
        fixture.attempt_runner.run(fixture.job)
    assert refused.value.reason is Reason.UPSTREAM_FAILED
    assert fixture.sent == [OK]


def test_failover_after_an_event_goes_on_at_its_version():
    fixture = resumable_fixture([OK, OK], [OLD, NEW, NEW, NEW, OLD, NEW])
    exchange = fixture.attempt_runner.run(fixture.job)
    version = exchange.attempt.upstream.software_version
    fixture.attempt_runner.record_first_event(fixture.job, exchange)
    fixture.attempt_runner.record_broken_answer(
        fixture.job, exchange, ResponseBroken("reset")
    )
    second = fixture.attempt_runner.run(fixture.job).attempt.upstream
    assert second.software_version == version
    assert second.id != exchange.attempt.upstream.id


def test_stream_taken_up_without_its_version_is_refused_unsent():
    fixture = resumable_fixture([OK], [NEW, NEW])
    fixture.job.stream_version = StreamVersion(OLD)
    with pytest.raises(Refusal) as refused:
        fixture.attempt_runner.run(fixture.job)
    assert refused.value.reason is Reason.STREAM_VERSION_GONE
    assert refused.value.retry_after > 0
    assert fixture.sent == []


def test_stream_taken_up_is_refused_as_busy_if_its_version_is_busy():
    fixture = resumable_fixture([NOT_RUN], [OLD, NEW])
    fixture.job.stream_version = StreamVersion(OLD)
    with pytest.raises(Refusal) as refused:
        fixture.attempt_runner.run(fixture.job)
    assert refused.value.reason is Reason.UPSTREAMS_FULL
    assert fixture.sent == [NOT_RUN]


def test_pause_of_another_version_does_not_count_for_the_retry_time():
    fixture = resumable_fixture([NOT_RUN], [OLD, NEW])
    fixture.pause = 2_500.0
    fixture.job.stream_version = StreamVersion(OLD)
    with pytest.raises(Refusal) as refused:
        fixture.attempt_runner.run(fixture.job)
    assert 2_500 <= refused.value.retry_after <= 3_000


@pytest.mark.parametrize("barred, wait", [((NEW,), 2_000), ((), 0)])
def test_refusal_tells_when_streams_begin_on_a_version_that_is_too_new(barred, wait):
    fixture = resumable_fixture([NOT_RUN] * 9, (NEW,))
    fixture.origins.barred = barred
    fixture.origins.wait = 2_000
    with pytest.raises(Refusal) as refused:
        fixture.attempt_runner.run(fixture.job)
    assert refused.value.reason.status == 503
    assert wait <= refused.value.retry_after <= wait + 400


def test_stream_is_not_taken_up_by_the_attempt_id_of_another_workspace():
    origins = RememberedOrigins({OLD, NEW})
    stream_versions = make_stream_versions(origins)
    begun = make_job()
    begun.workspace = Workspace("first", ["key-1"])
    begun.call.id = "id-0"
    stream_versions.record_first_event(
        begun, make_upstream("u", 1, software_version=OLD), CONNECTED_AT
    )
    taken_up = make_job(is_resumption=True)
    taken_up.workspace = Workspace("second", ["key-2"])
    with pytest.raises(Refusal):
        stream_versions.find_origin(taken_up)
    taken_up.workspace = begun.workspace
    stream_versions.find_origin(taken_up)
    assert taken_up.stream_version.software_version == OLD


def begin_on(stream_versions, job, connected_at):
    upstream = make_upstream("u", 1, software_version=OLD)
    stream_versions.record_first_event(job, upstream, connected_at)


# A record that is older than the connection may be that of an earlier process.
@pytest.mark.parametrize("version, is_certain", [(OLD, True), (NEW, False)])
def test_stream_on_a_new_connection_goes_on_only_if_its_version_was_read(
    version, is_certain
):
    view, job, origins = View(), make_job(), FakeOrigins()
    stream_versions = make_stream_versions(origins, view=view)
    begin_on(stream_versions, job, view.clock.now() + 300)
    later = make_upstream("u", 2, software_version=version)
    view.pending_reads[view.clock.now() + 700] = [later]
    assert stream_versions.is_origin_certain(job) is is_certain
    assert origins.uncertain == ([] if is_certain else [("llm", "id-1")])


def test_stream_does_not_go_on_without_a_read_of_its_upstream():
    view, job, origins = View(), make_job(), FakeOrigins()
    stream_versions = make_stream_versions(origins, view=view)
    begin_on(stream_versions, job, view.clock.now() + 300)
    assert not stream_versions.is_origin_certain(job)
    assert origins.uncertain == [("llm", "id-1")]


def test_stream_on_a_connection_older_than_the_read_goes_on_at_once():
    view, job = View(), make_job()
    stream_versions = make_stream_versions(FakeOrigins(), view=view)
    begin_on(stream_versions, job, CONNECTED_AT)
    view.read(make_upstream("u", 2, software_version=NEW))
    started = view.clock.now()
    assert stream_versions.is_origin_certain(job)
    assert view.clock.now() == started


# The upstream that is to go on may have started again since its record was read.
@pytest.mark.parametrize("version, goes_on", [(OLD, True), (NEW, False), (None, False)])
def test_stream_goes_on_at_a_new_connection_only_if_its_version_was_read(
    version, goes_on
):
    view, job = View(), make_job(is_resumption=True)
    stream_versions = make_stream_versions(FakeOrigins(StreamOrigin(OLD)), view=view)
    stream_versions.find_origin(job)
    later = make_upstream("u", 2, software_version=version)
    view.pending_reads[view.clock.now() + 700] = [later]
    connected_at = view.clock.now() + 100
    if goes_on:
        begin_on(stream_versions, job, connected_at)
        return
    with pytest.raises(ResponseBroken):
        begin_on(stream_versions, job, connected_at)


def test_stream_does_not_go_on_at_an_upstream_that_is_not_read():
    view, job = View(), make_job(is_resumption=True)
    stream_versions = make_stream_versions(FakeOrigins(StreamOrigin(OLD)), view=view)
    stream_versions.find_origin(job)
    with pytest.raises(ResponseBroken):
        begin_on(stream_versions, job, view.clock.now() + 100)
