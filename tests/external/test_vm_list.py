import pytest

from mulberryhub.external.vm_list import VmEntry, VmListClient, VmListUnavailable


@pytest.fixture
def vm_list(fleet):
    return fleet.start("mulberryhub.standins.vm_list")


def test_list_shows_added_changed_and_removed_vms(vm_list):
    client = VmListClient(vm_list.address)
    assert client.read() == []
    vm_list.request("POST", "/vms", json={"id": "a", "peer_address": "127.0.0.1:1"})
    vm_list.request("POST", "/vms", json={"id": "b"})
    vm_list.request("POST", "/vms", json={"id": "b", "state": "leaving"})
    first, second = client.read()
    assert first == VmEntry("a", peer_address="127.0.0.1:1")
    assert second.state == "leaving"
    vm_list.request("DELETE", "/vms/a")
    assert [entry.id for entry in client.read()] == ["b"]


def test_lag_hides_recent_changes(vm_list):
    client = VmListClient(vm_list.address)
    vm_list.set_faults(lag=600_000)
    vm_list.request("POST", "/vms", json={"id": "a"})
    assert client.read() == []
    vm_list.set_faults(lag=None)
    assert len(client.read()) == 1


@pytest.mark.parametrize("faults", [{"outage": True}, {"delay": 1_000}])
def test_outage_and_slow_response_raise_vm_list_unavailable(vm_list, faults):
    vm_list.set_faults(**faults)
    with pytest.raises(VmListUnavailable):
        VmListClient(vm_list.address).read(timeout=200)


def test_invalid_response_raises_vm_list_unavailable(vm_list):
    vm_list.request("POST", "/vms", json={"id": "a", "state": "other"})
    with pytest.raises(VmListUnavailable):
        VmListClient(vm_list.address).read()
