"""Numbers out of range in what clients and workers send, and in settings."""

import json

import pytest

from mulberryhub.adapter.cache_store import CacheStoreClient
from mulberryhub.adapter.dialect import read_answer, read_call
from mulberryhub.adapter.engines import EngineClient
from mulberryhub.adapter.settings import read_settings
from mulberryhub.config.settings import SettingsInvalid
from mulberryhub.fleet.cache_watcher import CacheStoreUnavailable
from mulberryhub.forward.refusal import Refusal
from mulberryhub.http.client import Response
from mulberryhub.http.messages import Headers, ResponseHead
from tests.adapter.odd_entries import NESTED_LIST
from tests.adapter.test_dialect import HEADER_PREFIX, make_request
from tests.adapter.test_settings import SETTINGS
from tests.forward.fakes import make_upstream

MAX_NUMBER = 2**53 - 1
ODD_NUMBERS_BY_NAME = {
    "nan": b"nan",
    "inf": b"inf",
    "infinite_power": b"1e999",
    "400_digits": b"9" * 400,
    "5000_digits": b"9" * 5_000,
    "64_bit": b"18446744073709551616",
    "below_zero": b"-1",
    "other_digits": b"\xb2",
    "underscores": b"1_0",
    "empty": b"",
}
ODD_NAMES = list(ODD_NUMBERS_BY_NAME)
HUGE_NAMES = ["400_digits", "5000_digits", "64_bit"]


def make_report(**texts_by_field):
    """Return a report that is complete; `texts_by_field` replaces its values."""
    fields = dict.fromkeys(("sequence", "running", "waiting"), b"1")
    fields |= {"models": b"[]", "busy": b"false", **texts_by_field}
    pairs = [b'"%s": %s' % (name.encode(), text) for name, text in fields.items()]
    return b"{%s}" % b", ".join(pairs)


ODD_REPORTS_BY_NAME = {
    "nested": make_report(extra=NESTED_LIST.encode()),
    "no_utf8": make_report(models=b'"\xff"'),
    **{
        f"{field}_{name}": make_report(**{field: ODD_NUMBERS_BY_NAME[name]})
        for field in ("sequence", "running", "waiting")
        for name in (*HUGE_NAMES, "below_zero", "infinite_power")
    },
    **{
        f"version_{name}": make_report(
            models=b'[{"name": "m1", "version": %s}]' % ODD_NUMBERS_BY_NAME[name]
        )
        for name in (*HUGE_NAMES, "below_zero")
    },
}


class FixedHttpClient:
    def __init__(self, body):
        self._body = body

    def send(self, *_, **__):
        return Response(200, self._body)


def facts(status, **headers):
    pairs = [
        (name.replace("_", "-").encode(), value) for name, value in headers.items()
    ]
    return read_answer(ResponseHead(status, Headers.from_pairs(pairs)), None)


@pytest.mark.parametrize("name", ODD_NAMES)
def test_odd_weights_version_of_an_answer_is_unknown(name):
    answer = facts(200, X_Mulberryhub_Weight_Versions=ODD_NUMBERS_BY_NAME[name])
    assert answer.version is None


@pytest.mark.parametrize("name", ODD_NAMES)
def test_odd_rate_limit_of_an_answer_is_unknown_or_in_range(name):
    rate = facts(200, Server_Limit=ODD_NUMBERS_BY_NAME[name]).rate_limit
    assert rate is None or 0 <= rate <= MAX_NUMBER


@pytest.mark.parametrize("name", ODD_NAMES)
def test_odd_pause_of_an_answer_is_unknown_or_in_range(name):
    pause = facts(503, Retry_After=ODD_NUMBERS_BY_NAME[name]).pause
    assert pause is None or 0 <= pause <= MAX_NUMBER


@pytest.mark.parametrize("name", ODD_NAMES)
@pytest.mark.parametrize("header", ["Deadline-Ms", "Token-Count", "Prompt-Prefix"])
def test_odd_number_of_a_client_is_refused_or_in_range(header, name):
    value = ODD_NUMBERS_BY_NAME[name]
    if header == "Prompt-Prefix":
        value = b"aa:" + value
    try:
        call = read_call(make_request((HEADER_PREFIX + header.encode(), value)))
    except Refusal:
        return
    numbers = [call.prompt_tokens, call.output_tokens, call.deadline or 0]
    numbers += [part.tokens for part in call.prompt_parts]
    assert all(abs(number or 0) <= MAX_NUMBER for number in numbers)


@pytest.mark.parametrize("name", ODD_REPORTS_BY_NAME)
def test_odd_report_of_an_engine_is_none(name):
    assert EngineClient(FixedHttpClient(make_report())).read_report(make_upstream("u1"))
    client = EngineClient(FixedHttpClient(ODD_REPORTS_BY_NAME[name]))
    assert client.read_report(make_upstream("u1")) is None


@pytest.mark.parametrize(
    "number",
    [str(10**400), str(2**53), "-1", NESTED_LIST],
    ids=["400_digits", "that_no_float_holds", "below_zero", "nested"],
)
def test_odd_answer_of_a_cache_store_makes_it_unavailable(number):
    rows_by_field = {
        "events": f'[[{number}, "+", "s", "5c", 8, "m1"]]',
        "held": f'[["s", "5c", {number}, "m1"]]',
    }
    for field, rows in rows_by_field.items():
        body = f'{{"bootEpoch": 1, "next": 2, "lost": false, "{field}": {rows}}}'
        client = CacheStoreClient(FixedHttpClient(body.encode()))
        read = client.read_all if field == "held" else reader_of_events(client)
        with pytest.raises(CacheStoreUnavailable):
            read("127.0.0.1:80")


@pytest.mark.parametrize("field", ["bootEpoch", "next"])
def test_cache_store_with_number_out_of_range_is_unavailable(field):
    document = {"bootEpoch": 1, "next": 2, "held": [], field: 10**400}
    client = CacheStoreClient(FixedHttpClient(json.dumps(document).encode()))
    with pytest.raises(CacheStoreUnavailable):
        client.read_all("127.0.0.1:80")


def reader_of_events(client):
    return lambda address: client.read_events(address, 0)


ODD_SETTINGS_BY_NAME = {
    "no_ports": SETTINGS.replace("[7600, 7615]", "[]"),
    "port_of_5000_digits": SETTINGS.replace(":4", ":" + "9" * 5_000),
    "endless_stop_time": SETTINGS + "[bounds]\ngraceS = inf\n",
    "stop_time_is_no_number": SETTINGS + "[bounds]\ngraceS = nan\n",
    "quota_slack_is_no_number": SETTINGS + "[bounds]\nquotaSlack = nan\n",
    "lease_of_400_digits": SETTINGS + f"[bounds]\nleaseMs = {10**400}\n",
    "endless_link": SETTINGS + "[limits]\nlinkMbps = inf\n",
    "link_is_no_number": SETTINGS + "[limits]\nlinkMbps = nan\n",
}


@pytest.mark.parametrize("name", ODD_SETTINGS_BY_NAME)
def test_settings_out_of_range_are_invalid(tmp_path, name):
    path = tmp_path / "node.toml"
    path.write_text(ODD_SETTINGS_BY_NAME[name])
    with pytest.raises(SettingsInvalid):
        read_settings(path)
