"""A seeded network with a virtual clock for state machines of the core.

Each message is encoded and decoded on its way, so that only what can be
sent over a link passes.
"""

import heapq
import random
from types import ModuleType
from typing import Any

import attrs
import msgspec


@attrs.frozen
class Faults:
    """Rates and delays that hold for every message.

    Attributes:
        delay_s: shortest and longest delay.
        loss: share of messages that are lost.
        copies: share of messages that arrive twice.
    """

    delay_s: tuple[float, float] = (0.0005, 0.002)
    loss: float = 0.0
    copies: float = 0.0


@attrs.define
class Node:
    """One process: its machine and the module of its events.

    Attributes:
        clock_offset_s: difference of its clock from the network's.
        paused_until_s: until then it neither ticks nor receives.
    """

    machine: Any
    events: ModuleType
    running: bool = True
    clock_offset_s: float = 0.0
    paused_until_s: float = 0.0
    effects: list[Any] = attrs.field(factory=list)
    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0


@attrs.define
class Network:
    """Nodes, the messages under way and the cuts between hosts."""

    seed: int
    tick_s: float = 0.2
    faults: Faults = Faults()
    now: float = 0.0
    nodes: dict[str, Node] = attrs.field(factory=dict)
    cuts: set[tuple[str, str]] = attrs.field(factory=set)
    drop: Any = None
    on_effect: Any = None
    tracer: Any = None
    _queue: list[Any] = attrs.field(factory=list)
    _order: int = 0
    rng: random.Random = attrs.field(init=False)

    def __attrs_post_init__(self):
        """Seed the network's own generator."""
        self.rng = random.Random(self.seed)

    def add(self, host: str, machine: Any, events: ModuleType) -> Node:
        """Start a process, or restart it with a new machine."""
        node = Node(machine, events)
        self.nodes[host] = node
        first_tick_s = self.now + self.rng.random() * self.tick_s
        self._push(first_tick_s, host, node, None, None)
        return node

    def stop(self, host: str) -> None:
        """Kill a process."""
        self.nodes[host].running = False

    def cut(self, left: list[str], right: list[str], both=True) -> None:
        """Drop messages from left to right, or in both directions."""
        for source in left:
            for target in right:
                self.cuts.add((source, target))
                if both:
                    self.cuts.add((target, source))

    def heal(self) -> None:
        """End all cuts."""
        self.cuts.clear()

    def deliver(self, host: str, event: Any) -> list[Any]:
        """Let a process handle an event and send what it wants to send."""
        node = self.nodes[host]
        effects = node.machine.handle(event, self.now + node.clock_offset_s)
        for effect in effects:
            if isinstance(effect, node.events.Send):
                self._send(host, node, effect)
            else:
                self._note(host, effect)
        node.effects = effects
        return effects

    def _note(self, host: str, effect: Any) -> None:
        if self.tracer is not None:
            self.tracer.noted(host, effect)
        if self.on_effect is not None:
            self.on_effect(host, effect)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, host, node, sender, message = heapq.heappop(
                self._queue
            )
            self._step(host, node, sender, message)
        self.now = end

    def _push(self, when, host, node, sender, message) -> None:
        self._order += 1
        item = (when, self._order, host, node, sender, message)
        heapq.heappush(self._queue, item)

    def _step(self, host, node, sender, message) -> None:
        if sender is not None:
            node = self.nodes.get(host)
        if node is None or not node.running:
            return
        if self.nodes[host] is not node:
            return
        if self.now < node.paused_until_s:
            self._push(node.paused_until_s, host, node, sender, message)
            return
        if sender is None:
            self._push(self.now + self.tick_s, host, node, None, None)
            self.deliver(host, node.events.Tick())
            return
        number, kind, data = message
        node.received_messages += 1
        node.received_bytes += len(data)
        if self.tracer is not None:
            self.tracer.received(host, number, kind.__name__)
        decoded = msgspec.msgpack.decode(data, type=kind)
        self.deliver(host, node.events.Received(sender, decoded))

    def _send(self, sender: str, node: Node, effect: Any) -> None:
        data = msgspec.msgpack.encode(effect.message)
        node.sent_messages += 1
        node.sent_bytes += len(data)
        receiver = effect.receiver
        self._order += 1
        number = self._order
        if self.tracer is not None:
            name = type(effect.message).__name__
            self.tracer.sent(sender, receiver, number, name)
        if (sender, receiver) in self.cuts:
            return
        if self.drop is not None and self.drop(
            sender, receiver, effect.message
        ):
            return
        if self.rng.random() < self.faults.loss:
            return
        copies = 1 + (self.rng.random() < self.faults.copies)
        for _ in range(copies):
            delay_s = self.rng.uniform(*self.faults.delay_s)
            message = (number, type(effect.message), data)
            self._push(self.now + delay_s, receiver, None, sender, message)
