"""The replicated configuration of this router and the way to change it everywhere."""

from mulberryhub.base.errors import Code, HubError
from mulberryhub.base.green import sleep, spawn
from mulberryhub.config.administration import RouterReport, RouterStatus
from mulberryhub.config.validation import validate_inventory
from mulberryhub.replica.changes import inventory_change, new_change
from mulberryhub.replica.commit import Committer
from mulberryhub.replica.fleet import collect_reports
from mulberryhub.replica.in_force import InForce
from mulberryhub.replica.messages import STATUS, StatusRequest
from mulberryhub.replica.peer_sync import PeerSync
from mulberryhub.replica.records import AddKey, WithdrawKey
from mulberryhub.replica.snapshots import SnapshotWriter
from mulberryhub.replica.tail import Tail
from mulberryhub.replica.ticker import run_ticker

COMMIT_TIMEOUT = 10_000  # ms
KEEP_TIMEOUT = 2_000  # ms
VIEW_TIMEOUT = 5_000  # ms
VIEW_POLL = 50  # ms


class Withdrawal:
    """A withdrawn key; `offset` is None until the log holds the withdrawal."""

    __slots__ = ("offset",)

    def __init__(self, offset):
        self.offset = offset

    @property
    def is_kept(self):
        """Return whether the log holds the withdrawal."""
        return self.offset is not None


class ConfigReplica:
    """What is in force on this router, read from the log and from peers.

    `call` is `PeerClient.call` and `peer_addresses()` gives the other routers'
    peer addresses; without them the log is the only source. `vm` is this VM's id,
    and `live_vms()` gives the ids of live VMs, or None where they are not known.
    """

    __slots__ = (
        "_vm",
        "_clock",
        "_call",
        "_live_vms",
        "_in_force",
        "_tail",
        "_committer",
        "_sync",
        "_threads",
    )

    def __init__(
        self,
        log_client,
        clock,
        counters,
        call=None,
        peer_addresses=lambda: (),
        vm="",
        live_vms=lambda: None,
        commit_timeout=COMMIT_TIMEOUT,
    ):
        self._vm = vm
        self._clock = clock
        self._call = call
        self._live_vms = live_vms
        self._in_force = InForce(clock, counters)
        snapshots = SnapshotWriter(log_client, clock, counters, self._in_force)
        self._tail = Tail(
            log_client, clock, counters, self._in_force, snapshots.observe
        )
        self._committer = Committer(
            log_client, clock, counters, self._in_force, commit_timeout
        )
        self._sync = None
        if call is not None:
            self._sync = PeerSync(call, peer_addresses, clock, self._in_force)
        self._threads = []

    def register(self, server):
        """Serve the methods that peers call on a PeerServer."""
        server.serve(STATUS, StatusRequest, self._answer_status)
        if self._sync is not None:
            self._sync.register(server)

    def start(self):
        """Start to read the log and to talk to peers, on green threads."""
        jobs = [self._tail.run, self._committer.flush]
        if self._sync is not None:
            jobs.append(self._sync.run)
        self._threads = [spawn(job) for job in jobs]
        self._threads.append(spawn(run_ticker, self._in_force.freshness))

    def stop(self):
        """Stop the green threads; what is in force stays."""
        for thread in self._threads:
            thread.kill()

    def current(self):
        """Return the ConfigView in force.

        It is None until one is known, and for a moment after the process was
        paused, until what is in force has been confirmed.
        """
        return self._in_force.view()

    def confirmed(self):
        """Return the ConfigView in force, waiting while it is being confirmed.

        Raise HubError with NOT_READY where that takes longer than VIEW_TIMEOUT.
        """
        deadline = self._clock.now() + VIEW_TIMEOUT
        while True:
            view = self.current()
            if view is not None:
                return view
            if self._clock.now() >= deadline:
                message = "what is in force is not known now"
                raise HubError(Code.NOT_READY, message, retry_after=VIEW_POLL)
            sleep(VIEW_POLL / 1000)

    @property
    def last_view(self):
        """Return the ConfigView even while it is not confirmed, to find peers."""
        return self._in_force.last_view

    @property
    def offset(self):
        """Return the offset of the last accepted change, -1 where there is none."""
        return self._in_force.state.offset

    @property
    def is_caught_up(self):
        """Return whether the state is known, so that it can be changed."""
        return self._in_force.is_caught_up

    @property
    def is_known(self):
        """Return whether the state was read from the log's end or from a peer."""
        return self._in_force.is_known

    @property
    def names_operators(self):
        """Return whether any operator may change the configuration."""
        return self._in_force.names_operators

    def is_withdrawn(self, key_hash):
        """Return whether a key was withdrawn, as far as this router knows."""
        return self._in_force.is_withdrawn(key_hash)

    @property
    def history(self):
        """Return the last accepted changes, oldest first."""
        return list(self._in_force.state.history)

    def status(self, key_hash=""):
        """Return the RouterStatus; `key_hash` is a key to report on."""
        view = self.current()
        state = self._in_force.state
        return RouterStatus(
            vm=self._vm,
            offset=-1 if view is None else view.offset,
            position=state.position,
            ready=view is not None,
            log_readable=self._tail.is_readable,
            pending=len(self._in_force.pending),
            unread=state.unread,
            withdrawn=view is not None and key_hash in view.withdrawn_hashes,
        )

    def _answer_status(self, request):
        return self.status(request.key_hash)

    def fleet(self, key_hash=""):
        """Return a RouterReport for each VM of the inventory in force."""
        view = self.current()
        others = [] if view is None else view.inventory.vms
        others = [vm for vm in others if vm.id != self._vm]
        return [
            RouterReport(self._vm, self.status(key_hash)),
            *collect_reports(self._call, others, self._live_vms(), key_hash),
        ]

    def apply(self, base, author, inventory_bytes):
        """Set the inventory everywhere and return the offset of the change.

        `base` is the offset that the author saw. Raise HubError where the
        document is invalid, something was set since, or the log is unavailable.
        """
        inventory, findings = validate_inventory(inventory_bytes)
        if inventory is None:
            raise HubError(Code.INVALID_INVENTORY, "; ".join(map(str, findings.errors)))
        self._committer.wait_for_base(base)
        state = self._in_force.state
        record = inventory_change(state, base, author, inventory)
        return self._committer.commit(record)

    def add_key(self, base, author, key_hash, workspace):
        """Add a caller's key everywhere and return the offset of the change."""
        view = self.current()
        if view is None or workspace not in view.workspaces_by_id:
            message = f"the workspace {workspace!r} is not known"
            raise HubError(Code.BAD_REQUEST, message)
        if key_hash in view.withdrawn_hashes:
            raise HubError(Code.WITHDRAWN_KEY, "the key has been withdrawn")
        if key_hash in view.keys_by_hash:
            raise HubError(Code.DUPLICATE_KEY, "the key is already known")
        record = AddKey(new_change(), author, base, key_hash, workspace)
        return self._committer.commit(record)

    def withdraw_key(self, author, key_hash):
        """Withdraw a key on this router at once, and return a Withdrawal.

        Peers are told without waiting. The withdrawal holds also while the log
        is down; it is appended as soon as the log takes it.
        """
        if key_hash in self._in_force.state.withdrawn:
            return Withdrawal(self.offset)
        record = WithdrawKey(new_change(), author, self.offset, key_hash)
        new = self._in_force.withdraw([record], is_own=True)
        if new and self._sync is not None:
            self._sync.push(new)
        return Withdrawal(self._committer.keep(record, KEEP_TIMEOUT))
