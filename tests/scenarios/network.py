"""A simulated network with a virtual clock for state machines of the core.

Faults are drawn from a seed. Each message is encoded and decoded, so that
only what a link can carry is delivered.
"""

import heapq
import random
from types import ModuleType
from typing import Any

import attrs
import msgspec


@attrs.frozen
class Faults:
    """Rates and delays that apply to every message.

    Attributes:
        delay_s: shortest and longest delay in seconds.
        loss: share of messages that are lost.
        copies: share of messages that arrive twice.
    """

    delay_s: tuple[float, float] = (0.0005, 0.002)
    loss: float = 0.0
    copies: float = 0.0


@attrs.define
class Node:
    """A process: its state machine and the module of its events.

    Attributes:
        clock_offset_s: its clock minus that of the network.
        paused_until_s: end of a pause without ticks and receipts; they follow
            afterwards.
        effects: the effects of the last event.
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
    """Processes, messages in transit and cuts between hosts.

    Attributes:
        cuts: pairs of a sender and a receiver whose messages are dropped.
        drop: called with sender, receiver and message; true to drop it.
        on_effect: called with the host and each effect but a send.
    """

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
        """Create the generator of faults and delays from the seed."""
        self.rng = random.Random(self.seed)

    def add(self, host: str, machine: Any, events: ModuleType) -> Node:
        """Start a process, or restart it with a new state machine."""
        node = Node(machine, events)
        self.nodes[host] = node
        first_tick_s = self.now + self.rng.random() * self.tick_s
        self._push(first_tick_s, host, node, None, None)
        return node

    def stop(self, host: str) -> None:
        """Kill a process without notice to the others."""
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
        """Let a process handle an event and send; return all effects."""
        node = self.nodes[host]
        effects = node.machine.handle(event, self.now + node.clock_offset_s)
        for effect in effects:
            if isinstance(effect, node.events.Send):
                self._send(host, node, effect)
            else:
                self._report_effect(host, effect)
        node.effects = effects
        return effects

    def _report_effect(self, host: str, effect: Any) -> None:
        if self.tracer is not None:
            self.tracer.record_effect(host, effect)
        if self.on_effect is not None:
            self.on_effect(host, effect)

    def run(self, seconds: float) -> None:
        """Advance the virtual clock and deliver what is due."""
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
            self.tracer.record_receipt(host, number, kind.__name__)
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
            self.tracer.record_send(sender, receiver, number, name)
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
