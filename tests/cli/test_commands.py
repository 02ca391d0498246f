import json
import os
import signal
import subprocess
import sys

import pytest

from benchmarks.topology import OPERATOR_KEY
from tests.support.config_fleet import ConfigFleet, admin, poll, rate_of, status_of

COMMAND_TIMEOUT_S = 60.0


def run_command(router, *arguments, key=OPERATOR_KEY, standard_input=""):
    environ = {**os.environ, "MULBERRYHUB_OPERATOR_KEY": key}
    if router is not None:
        environ["MULBERRYHUB_ROUTER"] = router.address
    command = [sys.executable, "-m", "mulberryhub.cli", *map(str, arguments)]
    return subprocess.run(
        command,
        env=environ,
        input=standard_input,
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
    )


@pytest.fixture(scope="module")
def fleet():
    with ConfigFleet(3) as fleet:
        yield fleet


@pytest.fixture
def write_inventory(fleet):
    def write_inventory(rate):
        document = fleet.inventory()
        document["workspaces"][0]["rate"] = rate
        return fleet.write_json("inventory.json", document)

    return write_inventory


def test_check_reports_findings_and_usage_errors(write_inventory):
    assert run_command(None, "check", write_inventory(1)).returncode == 0
    bad = run_command(None, "check", write_inventory(-1))
    assert bad.returncode == 1
    assert "$.workspaces[0].rate: must not be negative" in bad.stdout
    report = json.loads(
        run_command(None, "check", write_inventory("x"), "--json").stdout
    )
    assert report["findings"][0]["path"] == "$.workspaces[0].rate"
    assert run_command(None, "check", "/nowhere/inventory.json").returncode == 2
    assert run_command(None, "status").returncode == 2


def test_apply_waits_for_all_routers(fleet, write_inventory):
    done = run_command(fleet.routers[0], "apply", write_inventory(41))
    assert done.returncode == 0, done.stderr
    assert {rate_of(router) for router in fleet.routers} == {41}
    assert "in force on 3 of 3 live routers" in done.stderr
    stale = run_command(fleet.routers[0], "apply", write_inventory(42), "--base", -1)
    assert stale.returncode == 1
    assert "stale_base" in stale.stderr
    invalid = run_command(fleet.routers[0], "apply", write_inventory(-1), "--json")
    assert invalid.returncode == 1
    assert json.loads(invalid.stdout)["findings"]


def test_apply_lists_routers_without_the_change(fleet, write_inventory):
    paused = fleet.routers[2]
    paused.send_signal(signal.SIGSTOP)
    try:
        arguments = ("apply", write_inventory(43), "--timeout", 4, "--json")
        done = run_command(fleet.routers[0], *arguments)
    finally:
        paused.send_signal(signal.SIGCONT)
    assert done.returncode == 3, done.stderr
    missing = json.loads(done.stdout)["not_in_force"]
    assert [report["vm"] for report in missing] == [fleet.router_ids[2]]
    poll(lambda: admin(paused, "GET", "/admin/configuration").status == 200)
    poll(lambda: rate_of(paused) == 43)


def test_show_and_status(fleet):
    shown = json.loads(run_command(fleet.routers[1], "show", "--json").stdout)
    assert shown["inventory"]["models"]
    assert shown["history"][0]["author"] == "first-operator"
    status = run_command(fleet.routers[1], "status")
    assert status.returncode == 0, status.stderr
    assert all(f"{id_}: offset" in status.stdout for id_ in fleet.router_ids)
    assert run_command(fleet.routers[1], "show", key="wrong").returncode == 1


def test_added_key_is_withdrawn_during_a_log_outage(fleet):
    added = run_command(fleet.routers[0], "key", "add", "hotels")
    assert added.returncode == 0, added.stderr
    key = added.stdout.strip()
    assert {status_of(router, key) for router in fleet.routers} == {200}
    fleet.log.set_faults(outage=True)
    try:
        withdrawn = run_command(
            fleet.routers[1], "key", "withdraw", standard_input=f"{key}\n"
        )
    finally:
        fleet.log.set_faults(outage=None)
    assert withdrawn.returncode == 0, withdrawn.stderr
    assert "withdrawn, not yet in the log" in withdrawn.stdout
    assert {status_of(router, key) for router in fleet.routers} == {401}
    assert not any(key in router.read_stderr() for router in fleet.routers)
    assert run_command(fleet.routers[0], "key", "add", "nowhere").returncode == 1


def test_undecodable_answer_exits_with_unknown(fleet):
    log = fleet.log
    assert run_command(log, "status").returncode == 4


def test_explain_and_drain(fleet):
    document = fleet.inventory()
    engine = {"id": "engine-1", "kind": "engine", "data_centre": "bangkok-1"}
    engine |= {"address": "127.0.0.1:1", "models": ["parts-match"]}
    document["upstreams"].append(engine)
    run_command(fleet.routers[0], "apply", fleet.write_json("inventory.json", document))
    request = {"model": "parts-match", "messages": [{"role": "user", "content": "x"}]}
    path = fleet.write_json("request.json", request)
    workspace = fleet.inventory()["workspaces"][0]["id"]
    explained = run_command(fleet.routers[0], "explain", path, "--workspace", workspace)
    assert explained.returncode == 0, explained.stderr
    assert "engine-" in explained.stdout.splitlines()[-1]
    other = run_command(fleet.routers[0], "explain", path, "--workspace", "nobody")
    assert other.returncode == 1
    assert run_command(fleet.routers[1], "drain", key="other").returncode == 1
    assert run_command(fleet.routers[1], "drain").stdout == "draining\n"
    answer = fleet.routers[1].request("GET", "/readyz")
    assert (answer.status, answer.json()["error"]["code"]) == (503, "stopping")
    assert run_command(fleet.routers[1], "drain", "--undo").stdout == "ready again\n"
    assert fleet.routers[1].request("GET", "/readyz").status == 200
