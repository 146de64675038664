"""Builds trees of spreaders on a simulated network, without a real log."""

import random

import attrs
import msgspec

from cassiashift_core import spread
from cassiashift_core.spread import events
from tests.scenarios import network


@attrs.define
class State:
    """What one host has applied.

    Attributes:
        in_force: the highest revision that was ever in force.
        snapshots: number of snapshots applied.
    """

    applied: list[int] = attrs.field(factory=list)
    ready: bool = False
    in_force: int = 0
    snapshots: int = 0


@attrs.define
class Tree:
    """Control hosts, relays, entries and agents, checked at each effect.

    Attributes:
        log: the committed revisions in order.
        held: revisions in the log on the disk of each control host.
        violations: a line for each effect after which a host had wrong data,
            an older revision in force than before, or a gap.
    """

    net: network.Network
    log: list[int] = attrs.field(factory=list)
    held: dict[str, list[int]] = attrs.field(factory=dict)
    levels: list[list[str]] = attrs.field(factory=list)
    states: dict[str, State] = attrs.field(factory=dict)
    violations: list[str] = attrs.field(factory=list)
    window_deltas: int = 1024
    max_children: int = 64
    starts: int = 0

    @classmethod
    def build(cls, seed, sizes=(3, 2, 4, 8), faults=None, **options):
        """Return a running tree with the given number of hosts per level."""
        faults = faults or network.Faults()
        tree = cls(net=network.Network(seed=seed, faults=faults), **options)
        tree.net.on_effect = tree.check
        for name, size in zip('crea', sizes, strict=False):
            tree.levels.append([f'{name}{index}' for index in range(size)])
        for host in tree.hosts():
            tree.start(host)
        return tree

    @property
    def voters(self):
        """Return the control hosts."""
        return tuple(self.levels[0])

    @property
    def head(self):
        """Return the last committed revision, 0 if there is none."""
        return self.log[-1] if self.log else 0

    def hosts(self):
        """Return all hosts, from the control hosts to the agents."""
        return [host for level in self.levels for host in level]

    def machine(self, host):
        """Return the state machine of a host."""
        return self.net.nodes[host].machine

    def status(self, host):
        """Return the status that a host reports now."""
        return self.machine(host).status(self.net.now)

    def start(self, host):
        """Start or restart a host; only a control host's log is kept."""
        self.starts += 1
        depth = next(
            index for index, level in enumerate(self.levels) if host in level
        )
        cfg = spread.SpreadConfig(
            host=host,
            voters=self.voters,
            parents=tuple(self.levels[depth - 1]) if depth else (),
            max_children=0 if depth == 3 else self.max_children,
            window_deltas=self.window_deltas,
        )
        rng = random.Random(f'{self.net.seed} {host} {self.starts}')
        machine = spread.Spreader.from_config(cfg, rng)
        state = self.states.setdefault(host, State())
        state.applied = []
        state.ready = False
        self.net.add(host, machine, events)
        held = max(self.held.get(host, [0]))
        self.net.deliver(host, events.Restarted(held))

    def commit(self, knowing=None, holding=None):
        """Commit a revision.

        Args:
            knowing: the control hosts that learn of it, by default all.
            holding: the control hosts with it in their logs, by default
                all.
        """
        revision = self.head + self.net.rng.randint(1, 3)
        self.log.append(revision)
        for host in self.voters if holding is None else holding:
            self.held.setdefault(host, []).append(revision)
        self.learn(self.voters if knowing is None else knowing)
        return revision

    def learn(self, hosts, index=None):
        """Let control hosts learn the committed revisions up to an index."""
        for host in hosts:
            if not self.net.nodes[host].running:
                continue
            for revision in self.log:
                if index is None or revision <= index:
                    self.held.setdefault(host, []).append(revision)
                    data = str(revision).encode()
                    event = events.Committed(revision, data)
                    self.net.deliver(host, event)

    def check(self, host, effect):
        """Apply an effect to the state of a host and check the result."""
        state = self.states[host]
        if isinstance(effect, spread.ProvideSnapshot):
            data = msgspec.msgpack.encode(state.applied)
            event = events.SnapshotTaken(state.applied[-1], data)
            self.net.deliver(host, event)
            return
        if isinstance(effect, spread.ApplyDelta):
            self._check_delta(host, state, effect)
        elif isinstance(effect, spread.ApplySnapshot):
            state.applied = msgspec.msgpack.decode(effect.data)
            state.snapshots += 1
        elif isinstance(effect, spread.Ready):
            state.ready = True
        if state.ready:
            self._check_in_force(host, state)

    def hosts_behind(self):
        """Return the running hosts without the last revision in force."""
        return [
            host
            for host in self.hosts()
            if self.net.nodes[host].running
            and (
                not self.states[host].ready
                or self.states[host].applied[-1:] != self.log[-1:]
            )
        ]

    def _check_delta(self, host, state, effect):
        if effect.data != str(effect.revision).encode():
            self.violations.append(f'{host}: wrong data {effect}')
        state.applied = [*state.applied, effect.revision]

    def _check_in_force(self, host, state):
        last = state.applied[-1] if state.applied else 0
        if last < state.in_force:
            self.violations.append(
                f'{host}: {last} in force after {state.in_force}'
            )
        if state.applied != self.log[: len(state.applied)]:
            self.violations.append(f'{host}: a revision is missing')
        state.in_force = max(state.in_force, last)
