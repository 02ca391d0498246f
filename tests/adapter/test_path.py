"""Requests of clients through routers and stand-in workers, all real processes."""

import re
import signal
import threading
from pathlib import Path

import pytest
import urllib3

from mulberryhub.adapter_standins.documents import KEY, MODEL, make_config
from mulberryhub.adapter_standins.fleet import PlatformFleet, wait_until

ALL_EVENT_IDS = list(range(1, 7))  # of a stand-in worker's stream


@pytest.fixture(scope="module")
def platform(tmp_path_factory):
    fleet = PlatformFleet(tmp_path_factory.mktemp("platform"))
    try:
        assert not fleet.routers[0].is_ready()
        fleet.configure()
        wait_until(lambda: fleet.routers[0].ask_model(id="warm").status == 200)
        wait_until(lambda: fleet.routers[1].ask("/r/x", "GET", id="warm").status == 200)
        yield fleet
    finally:
        fleet.close()


def event_ids(answer):
    return [int(id) for id in re.findall(rb"id: (\d+)\n", answer.data)]


def test_stream_is_complete_and_has_workspace_of_key(platform):
    answer = platform.routers[0].ask_model(
        X_Mulberryhub_Tenant="other", X_Mulberryhub_Cache_Salt="mine"
    )
    assert answer.status == 200
    assert event_ids(answer) == ALL_EVENT_IDS
    assert answer.headers["X-Mulberryhub-Response-Seal"] in ("w1", "w2")
    assert answer.headers["X-Tenant-Seen"] == "t1"
    assert answer.headers["X-Salt-Seen"] == f"{MODEL}:1:t1"


@pytest.mark.parametrize("key, status", [(None, 401), ("nobody", 401)])
def test_missing_or_unknown_key_is_rejected(platform, key, status):
    assert platform.routers[0].ask("/o/x", key=key, id="denied").status == status
    assert "denied" not in platform.runs()


def test_unknown_route_is_not_found(platform):
    assert platform.routers[0].ask("/none/").status == 404


def test_cut_stream_is_resumed_on_another_worker(platform):
    for id in ("w1", "w2"):
        platform.workers_by_id[id].set_faults(cut=1)
        answers = [platform.routers[0].ask_model(id=f"cut-{id}-{n}") for n in range(4)]
        platform.workers_by_id[id].set_faults(cut=None)
        assert [event_ids(answer) for answer in answers] == [ALL_EVENT_IDS] * 4


def test_stream_cut_by_every_worker_does_not_look_complete(platform):
    for id in ("w1", "w2"):
        platform.workers_by_id[id].set_faults(cut=9)
    # Matched by text: eventlet imports urllib3 a second time, with other classes.
    with pytest.raises(Exception, match="Connection broken"):
        platform.routers[0].ask_model(id="torn")
    for id in ("w1", "w2"):
        platform.workers_by_id[id].set_faults(cut=None)
    assert platform.runs().count("torn") == 2


def test_non_idempotent_request_runs_once_despite_errors(platform):
    for id in ("p1", "p2"):
        platform.workers_by_id[id].set_faults(error=1)
    answer = platform.routers[1].ask("/o/x", id="order")
    for id in ("p1", "p2"):
        platform.workers_by_id[id].set_faults(error=None)
    assert answer.status == 500
    assert platform.runs().count("order") == 1


def test_idempotent_request_is_retried(platform):
    for id in ("p1", "p2"):
        platform.workers_by_id[id].set_faults(error=1)
    answer = platform.routers[1].ask("/r/x", "GET", id="read")
    for id in ("p1", "p2"):
        platform.workers_by_id[id].set_faults(error=None)
    assert platform.runs().count("read") == 2
    assert answer.status == 500


def test_request_not_run_is_sent_to_another_worker(platform):
    platform.workers_by_id["p1"].set_faults(shed=1)
    platform.workers_by_id["p2"].set_faults(shed=1)
    ids = [f"s{n}" for n in range(4)]
    status_by_id = {id: platform.routers[0].ask("/o/x", id=id).status for id in ids}
    for id in ("p1", "p2"):
        platform.workers_by_id[id].set_faults(shed=None)
    served = [id for id in ids if status_by_id[id] == 200]
    assert set(status_by_id.values()) <= {200, 503}
    assert len(served) >= 3
    assert sorted(id for id in platform.runs("p1", "p2") if id in ids) == served


def test_worker_shutting_down_gets_no_requests_from_any_router(platform):
    platform.start_worker("p3", "desk", "a")
    departing_worker = platform.workers_by_id["p3"]
    departing_worker.set_faults(departing=True)
    first, second = platform.routers

    def has_run_on_departing_worker():
        first.ask("/r/x", "GET", id="until")
        return "until" in platform.runs("p3")

    wait_until(has_run_on_departing_worker)
    before = platform.runs("p3")
    for index in range(20):
        assert first.ask("/r/x", "GET", id=f"after{index}").status == 200
    wait_until(
        lambda: any(line.get("message") == "upstream leaves" for line in second.lines())
    )
    for index in range(20):
        assert second.ask("/r/x", "GET", id=f"other{index}").status == 200
    assert platform.runs("p3") == before


def test_workers_requesting_pause_get_no_requests(platform):
    router = platform.routers[0]
    workers = [item for id, item in platform.workers_by_id.items() if id[0] == "p"]
    for worker in workers:
        worker.set_faults(shed=100, retry_after="1.5")
    ids = [f"full{n}" for n in range(10)]
    answers = [router.ask("/o/x", id=id) for id in ids]
    arrived = sum(
        id in ids
        for worker in workers
        for id in worker.request("GET", "/refused").json()
    )
    assert {answer.status for answer in answers} == {503}
    assert all(float(answer.headers["Retry-After"]) > 0 for answer in answers)
    assert arrived <= len(workers)
    for worker in workers:
        worker.set_faults(shed=None, retry_after=None)
    wait_until(lambda: router.ask("/r/x", "GET", id="open").status == 200)


def test_quota_refusal_has_retry_after(platform):
    tenants = [
        {
            "name": "t1",
            "apiKeys": [KEY, "key-2"],
            "billingUnit": "token_stream",
            "ratePerS": 500,
            "burst": 500,
        }
    ]
    platform.write("config", make_config(version=5, tenants=tenants))
    wait_until(lambda: platform.routers[0].ask("/r/x", "GET", "key-2").status == 200)
    answers = [platform.routers[0].ask_model(id=f"q{n}") for n in range(30)]
    refused = [answer for answer in answers if answer.status == 429]
    assert refused
    assert all(float(answer.headers["Retry-After"]) > 0 for answer in refused)
    platform.write("config", make_config(version=9))
    wait_until(lambda: platform.routers[0].ask("/r/x", "GET", "key-2").status == 401)


def test_new_weights_are_loaded_by_all_workers_during_requests(platform):
    platform.write(f"version/{MODEL}", {"model": MODEL, "version": 2})
    statuses = []
    answers = []

    def is_done():
        answer = platform.routers[1].ask_model(id=f"v{len(answers)}")
        answers.append(answer)
        statuses.append(answer.status)
        reports = [
            platform.workers_by_id[id].request("GET", "/api/report").json()
            for id in ("w1", "w2")
        ]
        return all(report["models"][0]["version"] == 2 for report in reports)

    wait_until(is_done)
    assert set(statuses) == {200}
    wait_until(
        lambda: (
            platform.routers[1].ask_model(id="after").headers["X-Salt-Seen"]
            == f"{MODEL}:2:t1"
        )
    )


def test_requests_are_served_without_store(platform):
    platform.store.set_faults(refuse=True)
    try:
        for n in range(20):
            assert platform.routers[n % 2].ask("/r/x", "GET", id=f"a{n}").status == 200
    finally:
        platform.store.set_faults(refuse=None)


def test_lost_history_is_replaced_by_listing(platform):
    assert platform.store.request("POST", "/forget").status == 200
    platform.write("config", make_config(version=20, tenants=None))
    wait_until(lambda: platform.routers[0].ask("/r/x", "GET", None).status == 200)
    platform.write("config", make_config(version=21))
    wait_until(lambda: platform.routers[0].ask("/r/x", "GET", None).status == 401)
    assert platform.routers[0].ask("/r/x", "GET").status == 200


def test_reload_signal_changes_nothing_and_metrics_are_served(platform):
    router = platform.routers[0]
    router.popen.send_signal(signal.SIGHUP)
    wait_until(
        lambda: any(line["message"] == "reload asked for" for line in router.lines())
    )
    assert router.ask("/r/x", "GET").status == 200
    text = urllib3.request("GET", f"http://{router.metrics}/metrics").data.decode()
    assert "mulberryhub_events_total" in text
    assert "mulberryhub_duration_ms_bucket" in text
    for topic in ("operator", "upstreams", "members"):
        assert f'mulberryhub_topic_age_ms{{topic="{topic}"}}' in text
        assert f'mulberryhub_call_pending_ms{{topic="{topic}"}}' in text


def test_logs_contain_no_keys(platform):
    platform.routers[0].ask("/o/x", key="secret-key")
    text = b"".join(router.log_path.read_bytes() for router in platform.routers)
    assert KEY.encode() not in text
    assert b"secret-key" not in text


def test_stop_waits_for_running_stream(platform):
    router = platform.start_router(2)
    platform.routers.append(router)
    wait_until(router.is_ready)
    wait_until(lambda: router.ask_model(id="before").status == 200)
    answers = []
    thread = threading.Thread(
        target=lambda: answers.append(router.ask_model(id="last"))
    )
    thread.start()
    router.popen.terminate()
    thread.join()
    assert event_ids(answers[0]) == ALL_EVENT_IDS
    assert not router.is_ready()
    assert router.popen.wait(6) == 0
    assert router.lines()[-1]["message"] == "stopped"


def test_reload_signal_during_start_does_not_terminate_router(platform):
    router = platform.start_router(3)
    platform.routers.append(router)
    maps = Path(f"/proc/{router.popen.pid}/maps")
    wait_until(lambda: "msgspec" in maps.read_text())
    router.popen.send_signal(signal.SIGHUP)
    wait_until(router.is_ready)
    assert router.popen.poll() is None
