"""Probes of random peers, directly and through other peers.

Das, Gupta and Motivala, "SWIM", DSN 2002; negative acknowledgements after
Dadgar, Phillips and Currey, "Lifeguard", DSN-W 2018.
"""

from collections.abc import Callable
from collections.abc import Collection
import random

import attrs

from cassiashift_core.membership import events
from cassiashift_core.membership import health
from cassiashift_core.membership import messages
from cassiashift_core.membership import records

PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 0.3
NACK_TIMEOUT_S = 0.3
INDIRECT_PROBES = 3
MAX_RELAYED = 64

Piggyback = Callable[[str], tuple[records.Record, ...]]


@attrs.define
class _Probe:
    target: str
    sequence: int
    started_s: float
    helpers: int = 0
    nacks: int = 0


@attrs.define
class _RelayedProbe:
    origin: str
    sequence: int
    deadline_s: float


@attrs.define
class Prober:
    """Probes one peer in each interval and relays probes for others.

    Attributes:
        piggyback: returns the updates for a message to a host.
    """

    rng: random.Random
    local_health: health.LocalHealth
    piggyback: Piggyback
    _remaining: list[str] = attrs.field(factory=list)
    _probe: _Probe | None = None
    _next_probe_s: float = 0.0
    _sequence: int = 0
    _relayed: dict[int, _RelayedProbe] = attrs.field(factory=dict)

    def cancel(self, now: float) -> None:
        """Cancel the probe in progress, without result for its target."""
        self._probe = None
        self._next_probe_s = now

    def pop_failed_target(self, now: float) -> str | None:
        """Return the target of a failed probe, and drop the probe.

        Raises the local health score by the helpers that sent no negative
        acknowledgement, or by 1 if there were no helpers.
        """
        probe = self._probe
        if probe is None or now < self._next_probe_s:
            return None
        self._probe = None
        missed = probe.helpers - probe.nacks
        self.local_health.adjust(missed if probe.helpers else 1)
        return probe.target

    def tick(self, now: float, peers: Collection[str]) -> list[events.Effect]:
        """Start or continue a probe; send a ``Nack`` per overdue relay."""
        effects = self._expire_relayed(now)
        if self._probe is None and now >= self._next_probe_s:
            effects.extend(self._start_probe(now, peers))
        elif self._probe is not None:
            effects.extend(self._send_indirect_probes(now, peers))
        return effects

    def relay(
        self, origin: str, request: messages.PingRequest, now: float
    ) -> list[events.Effect]:
        """Ping a target on behalf of another entry.

        The request is dropped if ``MAX_RELAYED`` are in progress.
        """
        if len(self._relayed) >= MAX_RELAYED:
            return []
        ping = self._new_ping(request.target)
        self._relayed[ping.sequence] = _RelayedProbe(
            origin, request.sequence, now + NACK_TIMEOUT_S
        )
        return [events.Send(request.target, ping)]

    def ping(self, target: str) -> events.Send:
        """Return a ping that belongs to no probe; no answer is awaited."""
        return events.Send(target, self._new_ping(target))

    def on_ack(self, ack: messages.Ack) -> list[events.Effect]:
        """End this entry's probe as successful, or forward a relayed ack."""
        probe = self._probe
        if probe is not None and ack.sequence == probe.sequence:
            self._probe = None
            self.local_health.adjust(-1)
            return []
        relayed = self._relayed.pop(ack.sequence, None)
        if relayed is None:
            return []
        return [events.Send(relayed.origin, messages.Ack(relayed.sequence))]

    def on_nack(self, nack: messages.Nack) -> None:
        """Count a helper that runs but has no answer from the target."""
        probe = self._probe
        if probe is not None and nack.sequence == probe.sequence:
            probe.nacks = min(probe.helpers, probe.nacks + 1)

    def _new_ping(self, target: str) -> messages.Ping:
        self._sequence += 1
        return messages.Ping(self._sequence, self.piggyback(target))

    def _start_probe(
        self, now: float, peers: Collection[str]
    ) -> list[events.Effect]:
        self._next_probe_s = now + PROBE_INTERVAL_S * self.local_health.factor
        target = self._next_target(peers)
        if target is None:
            return []
        ping = self._new_ping(target)
        self._probe = _Probe(target, ping.sequence, now)
        return [events.Send(target, ping)]

    def _next_target(self, peers: Collection[str]) -> str | None:
        while self._remaining:
            target = self._remaining.pop()
            if target in peers:
                return target
        self._remaining = sorted(peers)
        self.rng.shuffle(self._remaining)
        return self._remaining.pop() if self._remaining else None

    def _send_indirect_probes(
        self, now: float, peers: Collection[str]
    ) -> list[events.Effect]:
        probe = self._probe
        waited = now - probe.started_s
        timeout_s = PROBE_TIMEOUT_S * self.local_health.factor
        if probe.helpers or waited < timeout_s:
            return []
        others = sorted(host for host in peers if host != probe.target)
        helpers = self.rng.sample(others, min(INDIRECT_PROBES, len(others)))
        probe.helpers = len(helpers)
        return [
            events.Send(
                helper,
                messages.PingRequest(
                    probe.sequence, probe.target, self.piggyback(helper)
                ),
            )
            for helper in helpers
        ]

    def _expire_relayed(self, now: float) -> list[events.Effect]:
        overdue = [
            sequence
            for sequence, relayed in self._relayed.items()
            if now >= relayed.deadline_s
        ]
        effects = []
        for sequence in overdue:
            relayed = self._relayed.pop(sequence)
            nack = messages.Nack(relayed.sequence)
            effects.append(events.Send(relayed.origin, nack))
        return effects
