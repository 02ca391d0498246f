"""A model of routers that exchange usage reports and borrow from a coordinator."""

from collections import deque
from itertools import permutations
from random import Random

import msgspec

from mulberryhub.base.clock import ManualClock
from mulberryhub.fleet.records import Configuration, Usage, Workspace
from mulberryhub.fleet.router_counts import RouterCounts
from mulberryhub.fleet.state import FleetState
from mulberryhub.fleet.usage import (
    PUBLISHED_SLOT_COUNT,
    REPORTED_SLOT_COUNT,
    UsageTable,
)
from mulberryhub.forward.quotas import MAX_NEWS_AGE_MS, Quotas
from mulberryhub.forward.refusal import Refusal
from mulberryhub.forward.workspace_usage import QuotaRule
from mulberryhub.node.admission_saver import AdmissionSaver
from mulberryhub.node.coordination import known_usage
from mulberryhub.permits.share import CoordinatorShare

WINDOW_MS = 8_000
RATE_TOKENS_PER_S = 55_000
RULE = QuotaRule(WINDOW_MS, overage=0.1, slack=110_000)
WORKSPACE = Workspace(
    "w", ["k"], rate=RATE_TOKENS_PER_S, burst=RATE_TOKENS_PER_S, counts_tokens=True
)
CONFIGURATION = Configuration(1, [], [], [WORKSPACE])
MAX_WINDOW_TOKENS = RULE.limit(WORKSPACE, 1)
REPORT_PERIOD_MS = 300
SAMPLE_PERIOD_MS = 200
DATA_CENTRES = ("a", "b", "c")
STEP_MS = 20
COST_TOKENS = 6_000  # of a request
NOTICE_TIME_MS = 1_500  # from a cut or its end until routers have other leaders


class Node:
    """The quotas of a router with the UsageTable of the other routers."""

    def __init__(self, name, data_centre, fleet):
        self.name = name
        self.data_centre = data_centre
        self.table = UsageTable(self._measure, data_centre, WINDOW_MS, fleet.clock)
        self.counts = RouterCounts(
            self.table.others, lambda: len(fleet.nodes), fleet.clock
        )
        self.share = CoordinatorShare(
            self._count_followers, lambda: len(fleet.nodes), fleet.clock
        )
        self.known_names = set()
        self.state = FleetState(fleet.clock)
        self.state.apply(CONFIGURATION)
        for record in fleet.saved_by_router.values():
            self.state.apply(record)
        self.quotas = Quotas(
            RULE,
            self.table.others,
            self.table.admitted_by_others,
            self.table.news_age,
            self.counts.possible,
            self._borrow,
            self._read_lending_share,
            fleet.clock,
            self.state.earlier_admissions,
        )
        self.saver = AdmissionSaver(
            name,
            self.state,
            self.table,
            lambda: known_usage(self.table).rate_by_workspace,
            self.quotas.earlier_periods,
            fleet,
            lambda: fleet.has_coordinator and fleet.coordinator_of(self) is self,
            fleet.clock,
        )
        self._fleet = fleet

    def _borrow(self, name, cost):
        fleet = self._fleet
        coordinator = fleet.coordinator_of(self)
        if not fleet.has_coordinator or not fleet.can_reach(self, coordinator):
            return None
        return 0 if coordinator is self else coordinator.quotas.lend(WORKSPACE, cost)

    def _read_lending_share(self):
        """Return the share that this node may lend, as the composition root does."""
        if not self._fleet.has_coordinator:
            return 0
        heard = self.counts.heard()
        if heard > 1 and self.table.news_age() > MAX_NEWS_AGE_MS:
            return 0
        return min(1, self.share.followers() / heard)

    def _count_followers(self):
        usage = self.table.own()
        others = self.table.others()
        if others is not None:
            usage.add(others)
        return usage.followers_by_coordinator.get(self.name, 0)

    def sample(self):
        """Sample the numbers of routers and followers."""
        self.share.sample()
        self.counts.sample()

    def receive_report(self, node):
        """Receive the report of a follower, the first one in full."""
        usage = node.table.own()
        if node.name in self.known_names:
            admitted = usage.admitted.newest(REPORTED_SLOT_COUNT)
            usage = msgspec.structs.replace(usage, admitted=admitted)
            self.table.record_report(node.name, usage, {})
            return
        self.known_names.add(node.name)
        known = node.table.admitted_by_data_centre()
        unshared = node.table.take_unshared()
        self.table.record_report(node.name, usage, known, unshared=unshared)

    def receive_sums(self, leader):
        """Receive the sums of the leader of another data centre."""
        if leader.name in self.known_names:
            usage = leader.table.sum_local(PUBLISHED_SLOT_COUNT)
            self.table.record_remote(leader.data_centre, usage, {})
            return
        self.known_names.add(leader.name)
        known = {self.data_centre: leader.table.admitted_in(self.data_centre)}
        self.table.record_remote(leader.data_centre, leader.table.sum_local(), known)

    def receive_publication(self, leader):
        """Receive the sums that the leader of this data centre publishes."""
        is_known = leader.name in self.known_names
        self.known_names.add(leader.name)
        slots = PUBLISHED_SLOT_COUNT if is_known else None
        own_part = leader.table.reported_usage(self.name)
        self.table.record_local(leader.table.sum_local(slots), own_part)
        admitted = leader.table.remote_admitted(slots)
        self.table.record_remote_total(leader.table.remote(), admitted)

    def forget_others(self, group):
        """Drop the connections to the nodes that are not in `group`."""
        names = {node.name for node in group}
        for name in self.known_names - names:
            self.table.forget(name)
        self.known_names &= names

    def _measure(self):
        quotas = self.quotas
        age = quotas.uptime()
        return Usage(
            quotas.admitted(),
            quotas.demand_rates(),
            max_uptime=age,
            min_uptime=age,
            followers_by_coordinator={self._fleet.coordinator_of(self).name: 1},
        )


class Fleet:
    """Routers in data centres that exchange usage reports as in production."""

    def __init__(self, routers):
        self.clock = ManualClock()
        self.admitted = deque()
        self.saved_by_router = {}
        self.demand = 0
        self.refused = 0
        self.senders = None
        self.has_coordinator = True
        self.groups = []
        self.noticed_groups = []
        self.noticed_at = 0
        self.nodes = []
        self.nodes = [self._make(index) for index in range(routers)]

    def put_record(self, record):
        """Store what a router saved, as the store of the platform does."""
        self.saved_by_router[record.router] = record

    def _make(self, index):
        return Node(f"n{index}", DATA_CENTRES[index % len(DATA_CENTRES)], self)

    def restart(self, indices):
        for index in indices:
            self.nodes[index] = self._make(index)

    def split(self, *groups):
        """Cut the links between the groups of node numbers, and to all other nodes."""
        self.groups = [[self.nodes[number] for number in group] for group in groups]
        rest = [node for node in self.nodes if not any(node in g for g in self.groups)]
        self.groups.append(rest)
        self.noticed_at = self.clock.now() + NOTICE_TIME_MS

    def heal(self):
        """Restore all links; routers find each other again after a while."""
        self.groups = [self.nodes]
        self.noticed_at = self.clock.now() + NOTICE_TIME_MS

    def can_reach(self, node, other):
        """Return whether there is a link between two nodes."""
        return node is other or any(
            node in group and other in group for group in self.groups or [self.nodes]
        )

    def coordinator_of(self, node):
        """Return the node that `node` takes for the coordinator."""
        for group in self.noticed_groups or [self.nodes]:
            if node in group:
                return group[0]
        return node

    def _notice_links(self):
        if self.clock.now() < self.noticed_at or self.noticed_groups == self.groups:
            return
        self.noticed_groups = self.groups
        for group in self.groups:
            for node in group:
                node.forget_others(group)

    def run(self, duration, tokens_per_s):
        end = self.clock.now() + duration
        due = 0.0
        request_count = 0
        senders = self.senders or self.nodes
        while self.clock.now() < end:
            due += tokens_per_s * STEP_MS / 1000
            while due >= COST_TOKENS:
                due -= COST_TOKENS
                request_count += 1
                self._send_request(senders[request_count % len(senders)])
            self._step()

    def run_uneven(self, duration, tokens_per_s, seed):
        """Send requests of long-tailed cost at unequal rates to the routers."""
        random_numbers = Random(seed)
        shares = [random_numbers.random() ** 2 + 0.1 for _ in self.nodes]
        end = self.clock.now() + duration
        due = 0.0
        while self.clock.now() < end:
            due += tokens_per_s * STEP_MS / 1000
            while due > 0:
                cost = min(45_000, max(200, int(random_numbers.lognormvariate(8, 1.2))))
                due -= cost
                self._send_request(random_numbers.choices(self.nodes, shares)[0], cost)
            self._step()

    def _step(self):
        if self.clock.now() % SAMPLE_PERIOD_MS == 0:
            for node in self.nodes:
                node.sample()
                node.saver.step()
        if self.clock.now() % REPORT_PERIOD_MS == 0:
            self._exchange_reports()
        self.clock.advance(STEP_MS)

    def _send_request(self, node, cost=COST_TOKENS):
        self.demand += cost
        try:
            node.quotas.admit(WORKSPACE, cost)
        except Refusal:
            self.refused += cost
        else:
            self.admitted.append(AdmittedCost(self.clock.now(), cost))

    def _exchange_reports(self):
        """Exchange reports between the routers that reach each other."""
        self._notice_links()
        for group in self.noticed_groups or [self.nodes]:
            self._exchange_reports_in(group)

    def _exchange_reports_in(self, group):
        """Report to the first router of each data centre, and distribute the sums.

        Nothing gets over a link that is cut, also before the cut is noticed.
        """
        leaders = {}
        for node in group:
            leaders.setdefault(node.data_centre, node)
        followers = [
            node
            for node in group
            if node is not leaders[node.data_centre]
            and self.can_reach(node, leaders[node.data_centre])
        ]
        for node in followers:
            leaders[node.data_centre].receive_report(node)
        for leader, other in permutations(leaders.values(), 2):
            if self.can_reach(leader, other):
                other.receive_sums(leader)
        for node in followers:
            node.receive_publication(leaders[node.data_centre])

    def largest_window(self):
        largest = total = 0
        window = deque()
        for item in self.admitted:
            window.append(item)
            total += item.cost
            while window[0].at <= item.at - WINDOW_MS:
                total -= window.popleft().cost
            largest = max(largest, total)
        return largest


class AdmittedCost:
    """A cost that was admitted at the time `at` (ms)."""

    def __init__(self, at, cost):
        self.at = at
        self.cost = cost
