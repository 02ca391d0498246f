import msgspec
from hypothesis import given, settings, strategies as st

from mulberryhub.base.digest import key_hash
from mulberryhub.replica.changes import build_inventory_change
from mulberryhub.replica.records import (
    AddKey,
    EditInventory,
    Outcome,
    SetInventory,
    WithdrawKey,
    encode_record,
)
from mulberryhub.replica.replay import Replayer
from mulberryhub.replica.state import ConfigState
from tests.support.inventories import document, small_inventory

HASHES = [str(digit) * 64 for digit in range(4)]


class SimulatedLog:
    """Builds the payloads that concurrent writers with outdated states would append.

    `snapshots` lists the offset and the position of each snapshot.
    """

    def __init__(self, steps):
        self.payloads = []
        self.snapshots = []
        for step in steps:
            self.payloads.append(self._payload(*step))

    def _payload(self, kind, base, choice):
        change = f"c{len(self.payloads)}"
        if kind == "set":
            data = msgspec.Raw(document(rate=choice))
            return encode_record(SetInventory(change, "a", base, data))
        if kind == "edit":
            replaced = msgspec.Raw(document(rate=choice, keys=(str(choice % 3),)))
            removed = {"keys": [key_hash(str(choice % 5))]}
            return encode_record(EditInventory(change, "a", base, replaced, removed))
        if kind == "add":
            return encode_record(AddKey(change, "a", base, HASHES[choice % 4], "w"))
        if kind == "withdraw":
            return encode_record(WithdrawKey(change, "a", base, HASHES[choice % 4]))
        if kind == "repeat" and self.payloads:
            return self.payloads[choice % len(self.payloads)]
        if kind == "cut" and self.payloads:
            return self.payloads[-1][: choice + 1]
        if kind == "snapshot":
            return self._snapshot(choice)
        if kind == "newer":
            return msgspec.json.encode({"kind": "newer", "x": choice})
        if kind == "newer change":
            return msgspec.json.encode({"kind": "newer", "base": base})
        return bytes([choice]) * choice

    def _snapshot(self, lag):
        position = max(0, len(self.payloads) - lag % 4)
        state = replay(self.payloads[:position]).state
        snapshot = state.to_snapshot()
        self.snapshots.append((len(self.payloads), snapshot.position))
        return encode_record(snapshot)


def replay(payloads):
    replayer = Replayer()
    for offset, payload in enumerate(payloads):
        replayer.apply_record(offset, payload)
    return replayer


def encoded_state(replayer):
    return encode_record(replayer.state.to_snapshot())


KINDS = ["set", "edit", "add", "withdraw", "repeat", "cut", "snapshot", "newer"]
KINDS += ["newer change", "garbage"]
STEP = st.tuples(
    st.sampled_from(KINDS), st.integers(-1, 40), st.integers(min_value=0, max_value=60)
)
LOGS = st.lists(STEP, max_size=40).map(SimulatedLog)
DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=300)


@DETERMINISTIC
@given(LOGS, st.data())
def test_start_from_a_snapshot_in_the_log_gives_the_same_state(log, data):
    oldest = data.draw(st.integers(0, len(log.payloads)))
    replayer = Replayer()
    replayer.skip_to(oldest)
    for offset in range(oldest, len(log.payloads)):
        replayer.apply_record(offset, log.payloads[offset])
    is_covered = oldest == 0 or any(
        offset >= oldest and position >= oldest for offset, position in log.snapshots
    )
    assert replayer.has_gap is not is_covered
    if is_covered:
        assert encoded_state(replayer) == encoded_state(replay(log.payloads))


@DETERMINISTIC
@given(LOGS, st.data())
def test_start_from_a_peer_gives_the_same_state(log, data):
    length = len(log.payloads)
    read_first = data.draw(st.integers(0, length))
    lost_until = data.draw(st.integers(read_first, length))
    read_next = data.draw(st.integers(lost_until, length))
    peer_position = data.draw(st.integers(0, length))
    replayer = replay(log.payloads[:read_first])
    replayer.skip_to(lost_until)
    offsets = []
    for offset in range(lost_until, read_next):
        replayer.apply_record(offset, log.payloads[offset])
        offsets.append(replayer.state.offset)
    replayer.restore_snapshot(replay(log.payloads[:peer_position]).state.to_snapshot())
    offsets.append(replayer.state.offset)
    for offset in range(replayer.next_offset, length):
        replayer.apply_record(offset, log.payloads[offset])
        offsets.append(replayer.state.offset)
    assert offsets == sorted(offsets)
    if not replayer.has_gap:
        assert encoded_state(replayer) == encoded_state(replay(log.payloads))


@DETERMINISTIC
@given(LOGS, st.data())
def test_overlapping_pages_do_not_change_the_result(log, data):
    replayer = Replayer()
    while replayer.next_offset < len(log.payloads):
        start = data.draw(st.integers(0, replayer.next_offset))
        end = data.draw(st.integers(replayer.next_offset + 1, len(log.payloads)))
        for offset in range(start, end):
            replayer.apply_record(offset, log.payloads[offset])
    assert encoded_state(replayer) == encoded_state(replay(log.payloads))


@DETERMINISTIC
@given(LOGS)
def test_withdrawn_keys_stay_withdrawn(log):
    replayer = Replayer()
    withdrawn = set()
    for offset, payload in enumerate(log.payloads):
        replayer.apply_record(offset, payload)
        assert withdrawn <= replayer.state.withdrawn_hashes
        assert not withdrawn & replayer.state.added_by_hash.keys()
        withdrawn = set(replayer.state.withdrawn_hashes)


@DETERMINISTIC
@given(st.lists(st.binary(max_size=60), max_size=10))
def test_malformed_records_do_not_change_the_state(payloads):
    replayer = replay(payloads)
    empty = ConfigState()
    empty.position = len(payloads)
    assert encode_record(replayer.state.to_snapshot()) == encode_record(
        empty.to_snapshot()
    )
    assert replayer.malformed_count == len(payloads)


def test_inventory_of_a_newer_format_leaves_the_older_one_active():
    newer = msgspec.Raw(b'{"shape": "newer"}')
    replayer = replay(
        [
            encode_record(SetInventory("a", "ana", -1, msgspec.Raw(document(rate=1)))),
            encode_record(SetInventory("b", "ana", 0, newer, format=2)),
            encode_record(WithdrawKey("c", "ana", 0, HASHES[0])),
        ]
    )
    view = replayer.state.view()
    assert view.offset == 0
    assert view.inventory.workspaces[0].rate == 1
    assert HASHES[0] in view.withdrawn_hashes
    assert replayer.state.unread_offset == 1
    assert not replayer.state.is_complete


def test_unknown_fields_are_ignored():
    data = msgspec.json.decode(document(rate=1))
    data["workspaces"][0]["colour"] = "red"
    data["shape"] = {}
    raw = msgspec.Raw(msgspec.json.encode(data))
    replayer = replay([encode_record(SetInventory("a", "ana", -1, raw))])
    assert replayer.state.view().inventory.workspaces[0].rate == 1
    assert not replayer.state.is_complete


def test_inventory_of_wrong_types_is_refused():
    replayer = Replayer()
    raw = msgspec.Raw(b'{"workspaces": 7}')
    replayed = replayer.apply_record(
        0, encode_record(SetInventory("a", "ana", -1, raw))
    )
    assert replayed[0].outcome is Outcome.REFUSED
    assert replayer.state.view() is None


def test_change_of_an_unknown_kind_makes_older_bases_stale():
    replayer = replay(
        [
            encode_record(SetInventory("a", "ana", -1, msgspec.Raw(document(rate=1)))),
            msgspec.json.encode({"kind": "newer", "change": "b", "base": 0}),
        ]
    )
    late = encode_record(SetInventory("c", "ana", 0, msgspec.Raw(document(rate=2))))
    assert replayer.apply_record(2, late)[0].outcome is Outcome.STALE
    assert replayer.state.view().offset == 0


def test_edit_of_a_few_items_is_small_and_restores_the_whole_inventory():
    old = small_inventory(keys=[str(i) for i in range(1_000)])
    new = small_inventory(rate=5, keys=[str(i) for i in range(1, 1_001)])
    first = SetInventory("a", "ana", -1, msgspec.Raw(msgspec.json.encode(old)))
    replayer = replay([encode_record(first)])
    payload = encode_record(build_inventory_change(replayer.state, 0, "ana", new))
    replayer.apply_record(1, payload)
    assert replayer.state.inventory == new
    assert len(payload) < 1_500
