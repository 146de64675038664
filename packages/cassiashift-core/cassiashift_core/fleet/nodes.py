"""The entries of a region, as one of them knows them."""

from collections.abc import Iterable

import attrs

from cassiashift_core.fleet import messages
from cassiashift_core import hashing

# Silent hosts are forgotten after this; it exceeds any planned stop.
FORGET_AFTER_S = 60.0


@attrs.define
class Node:
    """An entry and when it was heard last, on the owner's clock."""

    record: messages.NodeRecord
    heard_at: float


@attrs.define
class NodeTable:
    """Entries by host, and hosts that were only named by others."""

    own_host: str
    nodes: dict[str, Node] = attrs.field(factory=dict)
    _named: dict[str, float] = attrs.field(factory=dict)
    _digest: int | None = None

    def heard(self, record: messages.NodeRecord, now: float) -> bool:
        """Take a host's own record; tell whether it is news."""
        known = self.nodes.get(record.host)
        if known and record.started_ns < known.record.started_ns:
            return False
        if known is None:
            self._digest = None
        self._named.pop(record.host, None)
        self.nodes[record.host] = Node(record, now)
        return known is None or known.record != record

    def named(self, hosts: Iterable[str], now: float) -> None:
        """Take hosts that another one knows; they may be reached."""
        for host in hosts:
            if host not in self.nodes and host != self.own_host:
                self._named.setdefault(host, now)

    def contacts(self) -> list[str]:
        """Return every host that a hello should go to."""
        return [*self.nodes, *self._named]

    def alive(self, now: float, timeout_s: float) -> list[Node]:
        """Return the hosts heard within a time, without this one."""
        return [
            node
            for node in self.nodes.values()
            if now - node.heard_at <= timeout_s
        ]

    def forget_silent(self, now: float) -> None:
        """Drop hosts that were not heard for long."""
        for host, node in list(self.nodes.items()):
            if now - node.heard_at > FORGET_AFTER_S:
                del self.nodes[host]
                self._digest = None
        for host, since in list(self._named.items()):
            if now - since > FORGET_AFTER_S:
                del self._named[host]

    def hosts(self) -> list[str]:
        """Return the hosts that spoke themselves, and this one, sorted."""
        return sorted([*self.nodes, self.own_host])

    def digest(self) -> int:
        """Return a digest of ``hosts``."""
        if self._digest is None:
            text = '\n'.join(self.hosts())
            self._digest = hashing.digest_of(text.encode())
        return self._digest
