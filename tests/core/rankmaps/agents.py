"""Simulation of the agents of a group, which are frozen, killed and cut off.

They exchange the messages of the agents' process. Messages to a frozen agent
wait until it runs again; those to an agent that was killed are lost.
"""

import attrs

from cassiashift_core import rankmaps
from tests.core.rankmaps import group as simulation

EXPERTS = 16
STATUS_S = 0.5
DRIVE_S = 0.05
HOP_S = 0.002
# Age of the state in a report of an engine to another host.
REPORT_LAG_S = 0.2
REMOTE_READ_S = 0.5
# Between two messages that an agent handles after it was frozen.
HANDLING_S = 0.0005


@attrs.define(eq=False)
class Agent:
    """The agent of one rank; calls its coordinator as the process does.

    Attributes:
        frozen_until: time until which the process is stopped.
        is_down: the process was killed and is not started again yet.
        remote_orders: calls to the engines of other agents.
        cut_off: ranks whose agents' messages do not arrive here.
    """

    group: simulation.Group
    rank: int
    agents: dict
    frozen_until: float = 0.0
    is_down: bool = False
    coordinator: rankmaps.Coordinator = None
    remote_orders: int = 0
    cut_off: set = attrs.field(factory=set)
    _coordinator_rank: int | None = None
    _inbox: list = attrs.field(factory=list)
    _incarnation: int = 0
    _read_at: dict = attrs.field(factory=dict)

    @property
    def _shape(self):
        size = self.group.size
        return rankmaps.GroupShape(size, 1, EXPERTS, EXPERTS // size + 2, 2, 6)

    def start(self):
        """Create the coordinator and schedule the agent's loops."""
        self._incarnation += 1
        self.is_down = False
        self.coordinator = rankmaps.Coordinator(
            self.group.report(self.rank),
            f'h{self.rank}',
            self._shape,
            version_skip=self.group.rng.randrange(rankmaps.MAX_VERSION_SKIP),
        )
        self._coordinator_rank = None
        offset = 0.01 * self.rank
        self._call_later(offset, self.poll_engine)
        self._call_later(offset, self.drive)
        self._call_later(offset, self.beacon)

    def kill(self, down_s):
        """End the process, and start it again after some seconds."""
        self.is_down = True
        self._incarnation += 1
        self._inbox.clear()
        self.frozen_until = 0.0
        self.group.call_later(down_s, self.start)

    def freeze(self, frozen_s):
        """Stop the process for some seconds; messages wait meanwhile."""
        self.frozen_until = self.group.now + frozen_s
        self._call_later(frozen_s, self._handle_inbox)

    def thaw(self):
        """Let the process run again before its time."""
        self.frozen_until = self.group.now
        self._handle_inbox()

    @property
    def is_frozen(self):
        """Whether the process is stopped."""
        return self.group.now < self.frozen_until

    def receive(self, action):
        """Handle a message now, or once the process runs again."""
        if self.is_frozen or self._inbox:
            self._inbox.append(action)
        elif not self.is_down:
            action()

    def poll_engine(self):
        """Read the engine and send its status to the coordinator."""
        self._call_later(STATUS_S, self.poll_engine)
        if self.is_frozen:
            return
        now = self.group.now
        report = self.group.report(self.rank)
        own = self.coordinator
        own.record_own_report(report, now)
        used = self.group.ranks[self.rank].lists
        used = used or rankmaps.first_map(self._shape)
        lists = tuple(rows[self.rank] for rows in used)
        # The popular experts change every two seconds.
        hot = int(now / 2) % 8
        counts = [100 if e % 8 == hot else 5 for e in range(EXPERTS)]
        choices = rankmaps.Choices.from_counts(counts)
        status = rankmaps.RankStatus(own.host, report, lists, choices)
        if own.coordinates(now):
            own.handle_status(status, now)
        elif self._coordinator_rank is not None:
            self._send_status(self._coordinator_rank, status)

    def beacon(self):
        """Send a beacon to the group while this agent coordinates."""
        self._call_later(rankmaps.BEACON_INTERVAL_S, self.beacon)
        own = self.coordinator
        if self.is_frozen or not own.coordinates(self.group.now):
            return
        report = own.own_report
        beacon = rankmaps.GroupBeacon(
            own.host, report.group, report.epoch, self.rank
        )
        for agent in self.agents.values():
            if agent is not self:
                self._send(agent.rank, agent.handle_beacon, beacon)

    def handle_beacon(self, beacon):
        """Follow the sender of a beacon if the coordinator accepts it."""
        if self.coordinator.handle_beacon(beacon, self.group.now):
            self._coordinator_rank = beacon.rank

    def handle_status(self, status):
        """Record the status of another rank and send the orders now due."""
        self.coordinator.handle_status(status, self.group.now)
        if self.coordinator.active is not None:
            self.send_due_orders()

    def handle_order(self, order, sender):
        """Send an order to the own engine and its new state to the sender."""
        self.coordinator.keep_prepared_map(order)
        self.group.send_order(
            order, lambda is_answered: self._report_to(sender)
        )

    def drive(self):
        """Send the due orders at a fixed interval."""
        self._call_later(DRIVE_S, self.drive)
        self.send_due_orders()

    def send_due_orders(self):
        """Send the orders that are due now."""
        if self.is_frozen:
            return
        own = self.coordinator
        now = self.group.now
        for order in own.orders(now):
            if order.rank == self.rank:
                self.handle_order(order, self.rank)
            elif self._is_sent_directly(order):
                self._send_to_engine(order)
            else:
                agent = self.agents[order.rank]
                self._send(order.rank, agent.handle_order, order, self.rank)
        for rank in own.ranks_to_poll(now):
            if now >= self._read_at.get(rank, 0.0) + REMOTE_READ_S:
                self._read_at[rank] = now
                self.remote_orders += 1
                self._read_engine(rank)

    def _is_sent_directly(self, order):
        active = self.coordinator.active
        if active is None:
            return False
        is_hold = order.kind is rankmaps.OrderKind.HOLD
        return is_hold or active.is_unanswered(order.rank)

    def _send_to_engine(self, order):
        """Send an order to the engine of another agent."""
        self.remote_orders += 1
        known = self.coordinator.last_report(order.rank)

        def apply(is_confirmed):
            if is_confirmed is None or known is None:
                return
            if is_confirmed and not order.is_confirmed_early:
                self._record_report(order.applied_to(known))
            else:
                self._read_engine(order.rank)

        self.group.send_order(order, self._when_running(apply))

    def _read_engine(self, rank):
        report = self.group.report(rank, REPORT_LAG_S)
        deliver = self._when_running(self._record_report)
        self.group.call_later(HOP_S, lambda: deliver(report))

    def _report_to(self, sender):
        """Read the engine and send its state to an agent."""
        if self.is_down:
            return
        report = self.group.report(self.rank)

        def send():
            status = rankmaps.RankStatus(self.coordinator.host, report)
            self.coordinator.record_own_report(report, self.group.now)
            if sender == self.rank:
                self.coordinator.handle_status(status, self.group.now)
                self.send_due_orders()
            else:
                self._send_status(sender, status)

        self.receive(send)

    def _send_status(self, rank, status):
        self._send(rank, self.agents[rank].handle_status, status)

    def _record_report(self, report):
        status = rankmaps.RankStatus(f'h{report.rank}', report)
        self.coordinator.handle_status(status, self.group.now)
        self.send_due_orders()

    def _send(self, rank, handle, *values):
        """Call a method of another agent as a message does."""
        receiver = self.agents[rank]
        if self.rank not in receiver.cut_off:
            self.group.call_later(
                HOP_S, lambda: receiver.receive(lambda: handle(*values))
            )

    def _handle_inbox(self):
        """Handle the messages that waited, between the agent's own calls."""
        if self.is_frozen or not self._inbox:
            return
        self._inbox.pop(0)()
        self._call_later(HANDLING_S, self._handle_inbox)

    def _call_later(self, delay_s, action):
        """Schedule a call that is dropped if the process was killed."""
        incarnation = self._incarnation

        def call():
            if incarnation == self._incarnation:
                action()

        self.group.call_later(delay_s, call)

    def _when_running(self, action):
        """Return a callback that waits while the process is frozen."""
        incarnation = self._incarnation

        def call(value):
            if incarnation == self._incarnation:
                self.receive(lambda: action(value))

        return call


def start_all(group):
    """Return an agent beside each rank, by rank."""
    agents = {}
    for rank in range(group.size):
        agents[rank] = Agent(group, rank, agents)
    for agent in agents.values():
        agent.start()
    return agents


def cut(first, second, is_cut=True):
    """Cut or join two agents in both directions."""
    for agent, other in ((first, second), (second, first)):
        change = agent.cut_off.add if is_cut else agent.cut_off.discard
        change(other.rank)


@attrs.define
class Disruptions:
    """Disrupts agents in series; the disruptions may overlap.

    Attributes:
        kinds: names of disruptions among ``freeze``, ``kill``, ``kill_all``,
            ``cut`` and ``re_form``. Most of them meet an agent with a running
            switch or recovery.
        until_s: time of the last disruption.
    """

    group: simulation.Group
    agents: dict
    kinds: tuple
    until_s: float

    def start(self):
        """Schedule the first disruption."""
        self._schedule()

    def _schedule(self):
        self.group.call_later(
            self.group.rng.expovariate(1.0), self._strike_active
        )

    def _strike_active(self, waited_s=0.0):
        """Wait up to two seconds for an agent with a switch or recovery."""
        rng = self.group.rng
        active = [
            agent
            for agent in self.agents.values()
            if agent.coordinator.active is not None and not agent.is_down
        ]
        if not active and waited_s < 2.0:
            self.group.call_later(
                0.02, lambda: self._strike_active(waited_s + 0.02)
            )
            return
        if self.group.now > self.until_s:
            return
        agent = rng.choice(active or list(self.agents.values()))
        kind = rng.choice(self.kinds)
        self.group.call_later(
            rng.uniform(0.0, 0.3), lambda: self._strike(kind, agent)
        )
        self._schedule()

    def _strike(self, kind, agent):
        rng = self.group.rng
        if kind == 'kill_all':
            for each in self.agents.values():
                if not each.is_down:
                    each.kill(rng.uniform(0.6, 1.2))
        elif kind == 're_form':
            self.group.re_form()
        elif kind == 'cut':
            size = self.group.size
            others = rng.sample(range(size), rng.choice([1, 2, size - 1]))
            for other in others:
                self._cut(agent, self.agents[other], rng.uniform(0.5, 4.0))
        elif agent.is_down or agent.is_frozen:
            return
        elif kind == 'kill':
            agent.kill(rng.uniform(0.1, 1.2))
        else:
            agent.freeze(rng.uniform(0.2, 4.0))

    def _cut(self, agent, other, for_s):
        if agent is not other:
            cut(agent, other)
            self.group.call_later(for_s, lambda: cut(agent, other, False))
