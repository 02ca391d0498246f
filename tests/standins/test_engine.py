import time

import pytest
import urllib3

from mulberryhub.base.clock import Clock
from mulberryhub.standins.engine_batch import Batch, EngineOptions, Sequence
from mulberryhub.standins.engine_cache import PrefixCache
from mulberryhub.standins.engine_faults import EngineFaults
from mulberryhub.standins.engine_text import answer_text

PROMPT = "word " * 40
FAST_OPTIONS = ("--block-tokens", 10, "--token-time", 2, "--load-time", 10)


@pytest.fixture
def start_engine(fleet):
    def start_engine(*options):
        return fleet.start(
            "mulberryhub.standins.engine", "127.0.0.1:0", *FAST_OPTIONS, *options
        )

    return start_engine


def post(engine, path, body, **headers):
    return engine.request("POST", path, json=body, headers=headers)


def complete(engine, prompt=PROMPT, tokens=4, id="r", scope="s", **headers):
    body = {"model": "m", "prompt": prompt, "max_tokens": tokens}
    headers = {"X-Request-Id": id, "X-Cache-Scope": scope, **headers}
    return post(engine, "/v1/completions", body, **headers)


def cached_tokens(answer):
    return answer.json()["usage"]["prompt_tokens_details"]["cached_tokens"]


def read_report(engine):
    return engine.request("GET", "/report").json()


def test_unstreamed_answer_is_deterministic(start_engine):
    engine = start_engine()
    body = {"prompt": PROMPT}
    assert complete(engine).json()["choices"][0]["text"] == answer_text(body, 4)


def test_cache_evicts_blocks_above_its_capacity(start_engine):
    engine = start_engine("--cache-tokens", 40)
    complete(engine)
    complete(engine, prompt="other " * 40)
    assert cached_tokens(complete(engine)) == 0
    assert read_report(engine)["cached_tokens"] == 40


def test_restart_empty_clears_the_cache_and_changes_the_incarnation(start_engine):
    engine = start_engine()
    first = complete(engine)
    engine.set_faults(restart_empty=True)
    again = complete(engine)
    assert cached_tokens(again) == 0
    assert first.headers["X-Incarnation"] != again.headers["X-Incarnation"]


def test_crash_ends_the_process(start_engine):
    engine = start_engine()
    engine.set_faults(crash=True)
    assert engine.popen.wait(10) != 0


def test_poisoned_prompt_ends_the_process(start_engine):
    engine = start_engine()
    engine.set_faults(poison="toxic")
    assert complete(engine).status == 200
    with pytest.raises(urllib3.exceptions.HTTPError):
        complete(engine, prompt="a toxic prompt")
    assert engine.popen.wait(10) != 0


def test_silence_affects_only_open_connections(start_engine):
    engine = start_engine()
    host, port = engine.address.split(":")
    with urllib3.HTTPConnectionPool(host, int(port)) as pool:
        pool.request("GET", "/load")
        engine.set_faults(silence=True)
        with pytest.raises(urllib3.exceptions.ReadTimeoutError):
            pool.request("GET", "/load", timeout=0.3, retries=False)
    assert engine.request("GET", "/load").status == 200


def test_cache_hit_across_versions_counts_as_out_of_scope(start_engine):
    engine = start_engine()
    complete(engine)
    order = {"kind": "load", "model": "m", "version": "2", "fencing": 1}
    assert post(engine, "/orders", order).status == 200
    assert complete(engine, **{"X-Model-Version": "1"}).status == 409
    complete(engine, **{"X-Model-Version": "2"})
    assert read_report(engine)["out_of_scope"] > 0


@pytest.mark.parametrize("options, status", [(("--checks-fencing",), 409), ((), 200)])
def test_order_with_an_outdated_fencing_token(start_engine, options, status):
    engine = start_engine(*options)
    newer = {"kind": "load", "model": "m", "version": "3", "fencing": 7}
    older = {"kind": "load", "model": "m", "version": "2", "fencing": 6}
    assert post(engine, "/orders", newer).status == 200
    assert post(engine, "/orders", older).status == status


def test_export_and_import_keep_the_scope(start_engine):
    source, target = start_engine(), start_engine()
    complete(source)
    blocks = source.request("GET", "/cache/export?scope=s").json()["blocks"]
    body = {"scope": "s", "blocks": blocks}
    assert post(target, "/cache/import", body).json() == {"imported": 4}
    assert cached_tokens(complete(target)) == 40
    assert post(target, "/cache/import", {**body, "scope": "t"}).status == 409


def test_event_gap_drops_every_nth_event(start_engine):
    engine = start_engine("--event-gap", 2)
    complete(engine)
    answer = engine.request("GET", "/events?from=0&wait=1000").json()
    assert [item["sequence"] for item in answer["events"]] == [0, 2]


def test_cache_events_and_load_reports_are_delayed(start_engine):
    engine = start_engine("--event-delay", 60_000, "--load-lag", 60_000)
    complete(engine)
    assert engine.request("GET", "/events").json()["events"] == []
    assert engine.request("GET", "/load").json()["cached_tokens"] == 0


def test_cancel_frees_the_slot(start_engine):
    engine = start_engine("--slots", 1, "--token-time", 50)
    body = {"model": "m", "prompt": PROMPT, "max_tokens": 10_000, "stream": True}
    headers = {"X-Request-Id": "long"}
    stream = engine.request(
        "POST", "/v1/completions", json=body, headers=headers, preload_content=False
    )
    next(stream.stream(16))
    assert post(engine, "/v1/cancel", {"id": "long"}).json() == {"cancelled": True}
    assert complete(engine, id="next").status == 200


def test_higher_priority_runs_first():
    options = EngineOptions(slots=1, token_time=1)
    cache = PrefixCache(100, lambda type, block: None)
    batch = Batch(options, cache, EngineFaults(), Clock())
    sequences = [Sequence(id, "x", priority=p) for id, p in (("a", 0), ("b", 0))]
    sequences.append(Sequence("urgent", "x", priority=5))
    for sequence in sequences:
        batch.submit(sequence)
    first, low, high = sequences
    while high.active:
        high.wait()
    assert not first.active
    assert low.active


def test_crossed_fault_returns_the_answer_of_another_request(start_engine):
    engine = start_engine()
    engine.set_faults(crossed=1)
    body = {"model": "m", "prompt": PROMPT, "max_tokens": 4, "stream": True}
    headers = {"X-Request-Id": "r"}
    for foreign in (True, False):
        answer = post(engine, "/v1/completions", body, **headers)
        assert (answer.headers["X-Request-Id"] != "r") == foreign
        assert (b"foreign" in answer.data) == foreign


def test_stream_without_reader_is_abandoned(start_engine):
    engine = start_engine("--orphan-timeout", 100, "--token-time", 20)
    body = {"model": "m", "prompt": PROMPT, "max_tokens": 10_000, "stream": True}
    stream = engine.request("POST", "/v1/completions", json=body, preload_content=False)
    next(stream.stream(16))
    stream.close()
    deadline = time.monotonic() + 10
    while read_report(engine)["running"] and time.monotonic() < deadline:
        time.sleep(0.05)
    assert read_report(engine)["running"] == 0
