"""This router's replica of the configuration, and changes to it for all routers."""

from mulberryhub.base.errors import ApiError, ErrorCode
from mulberryhub.base.green import sleep, spawn
from mulberryhub.config.administration import RouterReport, RouterStatus
from mulberryhub.config.validation import validate_inventory
from mulberryhub.replica.active_config import ActiveConfig
from mulberryhub.replica.changes import build_inventory_change, new_change_id
from mulberryhub.replica.commit import Committer
from mulberryhub.replica.messages import STATUS_METHOD, StatusRequest
from mulberryhub.replica.peer_sync import PeerSync
from mulberryhub.replica.records import AddKey, WithdrawKey
from mulberryhub.replica.router_reports import collect_router_reports
from mulberryhub.replica.snapshots import SnapshotWriter
from mulberryhub.replica.tail import LogTailer
from mulberryhub.replica.ticker import run_freshness_checks

COMMIT_TIMEOUT_MS = 10_000
WITHDRAWAL_TIMEOUT_MS = 2_000
VIEW_TIMEOUT_MS = 5_000
VIEW_POLL_INTERVAL_MS = 50


class Withdrawal:
    """A withdrawn key.

    `offset` is the log offset of the withdrawal, or None until the log is known to
    hold it.
    """

    __slots__ = ("offset",)

    def __init__(self, offset):
        self.offset = offset

    @property
    def is_logged(self):
        """Return whether the log is known to hold the withdrawal."""
        return self.offset is not None


class ConfigReplica:
    """The active configuration of this router, read from the log and from peers.

    `call` is `PeerClient.call`; if it is None, the log is the only source.
    `peer_addresses()` returns the peer addresses of the other routers. `vm` is the
    id of this VM, and `live_vms()` returns the ids of the live VMs, or None if they
    are not known. `commit_timeout` is the time limit of a change in ms.
    """

    __slots__ = (
        "_vm",
        "_clock",
        "_call",
        "_live_vms",
        "_active_config",
        "_tailer",
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
        commit_timeout=COMMIT_TIMEOUT_MS,
    ):
        self._vm = vm
        self._clock = clock
        self._call = call
        self._live_vms = live_vms
        self._active_config = ActiveConfig(clock, counters)
        snapshots = SnapshotWriter(log_client, clock, counters, self._active_config)
        self._tailer = LogTailer(
            log_client, clock, counters, self._active_config, snapshots.observe
        )
        self._committer = Committer(
            log_client, clock, counters, self._active_config, commit_timeout
        )
        self._sync = None
        if call is not None:
            self._sync = PeerSync(call, peer_addresses, clock, self._active_config)
        self._threads = []

    def register(self, server):
        """Register the methods that peers call with the PeerServer `server`."""
        server.register_handler(STATUS_METHOD, StatusRequest, self._answer_status)
        if self._sync is not None:
            self._sync.register(server)

    def start(self):
        """Start green threads that read the log and synchronize with peers."""
        self._active_config.freshness.start()
        jobs = [self._tailer.run, self._committer.flush_withdrawals]
        if self._sync is not None:
            jobs.append(self._sync.run)
        self._threads = [spawn(job) for job in jobs]
        self._threads.append(spawn(run_freshness_checks, self._active_config.freshness))

    def stop(self):
        """Stop the green threads; the active configuration stays available."""
        for thread in self._threads:
            thread.kill()

    def current(self):
        """Return the ConfigView of the active configuration.

        Return None until a configuration is known. After the process was paused,
        return None until the configuration has been confirmed to be current.
        """
        return self._active_config.view()

    def wait_for_view(self):
        """Return the active ConfigView, waiting while it is not confirmed.

        Raise ApiError with NOT_READY if that takes longer than VIEW_TIMEOUT_MS.
        """
        deadline = self._clock.now() + VIEW_TIMEOUT_MS
        while True:
            view = self.current()
            if view is not None:
                return view
            if self._clock.now() >= deadline:
                message = "what is in force is not known now"
                raise ApiError(
                    ErrorCode.NOT_READY, message, retry_after=VIEW_POLL_INTERVAL_MS
                )
            sleep(VIEW_POLL_INTERVAL_MS / 1000)

    @property
    def last_known_view(self):
        """Return the last known ConfigView even if it is not confirmed.

        It is used to find peers while the configuration is not confirmed.
        """
        return self._active_config.last_known_view

    @property
    def offset(self):
        """Return the offset of the last accepted change, or -1 if there is none."""
        return self._active_config.state.offset

    @property
    def is_caught_up(self):
        """Return whether the state is known without gaps and can be changed."""
        return self._active_config.is_caught_up

    @property
    def is_known(self):
        """Return whether the state was read to the end of the log or from a peer."""
        return self._active_config.is_known

    @property
    def has_operators(self):
        """Return whether the last known configuration has operators."""
        return self._active_config.has_operators

    def is_withdrawn(self, key_hash):
        """Return whether this router knows that the key was withdrawn."""
        return self._active_config.is_withdrawn(key_hash)

    @property
    def history(self):
        """Return the last accepted changes, oldest first."""
        return list(self._active_config.state.history)

    def status(self, key_hash=""):
        """Return the RouterStatus; `key_hash` is the key to report on."""
        view = self.current()
        state = self._active_config.state
        return RouterStatus(
            vm=self._vm,
            offset=-1 if view is None else view.offset,
            position=state.position,
            ready=view is not None,
            log_readable=self._tailer.is_readable,
            pending=len(self._active_config.pending),
            unread=state.unread_offset,
            withdrawn=view is not None and key_hash in view.withdrawn_hashes,
        )

    def _answer_status(self, request):
        return self.status(request.key_hash)

    def router_reports(self, key_hash=""):
        """Return a RouterReport for each VM of the active inventory."""
        view = self.current()
        other_vms = [] if view is None else view.inventory.vms
        other_vms = [vm for vm in other_vms if vm.id != self._vm]
        return [
            RouterReport(self._vm, self.status(key_hash)),
            *collect_router_reports(self._call, other_vms, self._live_vms(), key_hash),
        ]

    def set_inventory(self, base, author, inventory_bytes):
        """Set the inventory on all routers and return the offset of the change.

        `base` is the offset that the author's change is based on. Raise ApiError if
        the document is invalid, the configuration was changed after `base`, or the
        log is unavailable.
        """
        inventory, findings = validate_inventory(inventory_bytes)
        if inventory is None:
            raise ApiError(
                ErrorCode.INVALID_INVENTORY, "; ".join(map(str, findings.errors))
            )
        self._committer.wait_for_base(base)
        state = self._active_config.state
        record = build_inventory_change(state, base, author, inventory)
        return self._committer.commit(record)

    def add_key(self, base, author, key_hash, workspace):
        """Add a caller's key on all routers and return the offset of the change.

        Raise ApiError if the workspace is unknown, the key is known or withdrawn,
        the configuration was changed after `base`, or the log is unavailable.
        """
        view = self.current()
        if view is None or workspace not in view.workspaces_by_id:
            message = f"the workspace {workspace!r} is not known"
            raise ApiError(ErrorCode.BAD_REQUEST, message)
        if key_hash in view.withdrawn_hashes:
            raise ApiError(ErrorCode.WITHDRAWN_KEY, "the key has been withdrawn")
        if key_hash in view.keys_by_hash:
            raise ApiError(ErrorCode.DUPLICATE_KEY, "the key is already known")
        record = AddKey(new_change_id(), author, base, key_hash, workspace)
        return self._committer.commit(record)

    def withdraw_key(self, author, key_hash):
        """Withdraw a key on this router at once, and return a Withdrawal.

        The withdrawal is sent to peers without waiting for their answers. It also
        takes effect while the log is unavailable; it is then appended as soon as
        the log accepts it.
        """
        if key_hash in self._active_config.state.withdrawn_hashes:
            return Withdrawal(self.offset)
        record = WithdrawKey(new_change_id(), author, self.offset, key_hash)
        new = self._active_config.withdraw([record], is_own=True)
        if new and self._sync is not None:
            self._sync.push(new)
        return Withdrawal(
            self._committer.append_withdrawal(record, WITHDRAWAL_TIMEOUT_MS)
        )
