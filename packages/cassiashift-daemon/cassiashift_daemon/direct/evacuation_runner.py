"""Brings evacuations of data centres into force at this entry."""

from collections.abc import Callable
import time
from typing import Any

import attrs

from cassiashift_core import evacuation
from cassiashift_daemon.direct import fleet_runner
from cassiashift_daemon.direct import metrics
from cassiashift_daemon import logs
from cassiashift_net import links

# An entry that still states an older revision this long after a newer one
# came into force here has missed its push.
PUSH_MISSED_S = 0.3


@attrs.define(eq=False)
class EvacuationRunner:
    """Applies newer states of evacuations and sends them to others.

    Attributes:
        on_ended: called with each data centre whose evacuation has ended,
            before queued requests are sent there.
        on_changed: called after each change.
    """

    runner: fleet_runner.FleetRunner
    metrics: metrics.Metrics
    on_ended: Callable[[str], None] = lambda data_centre: None
    on_changed: Callable[[], None] = lambda: None
    _since: float = 0.0

    def __attrs_post_init__(self) -> None:
        """Receive the states and revisions of the fleet's messages."""
        self.runner.on_evacuations = self.apply
        self.runner.on_revision = self.compare_revision

    @property
    def view(self) -> evacuation.EvacuationView:
        """Return the evacuations in force at this entry."""
        return self.runner.evacuations

    def apply(self, state: evacuation.Evacuations, source: str) -> bool:
        """Apply a committed state if it is newer.

        Args:
            source: where it came from, for the log: ``log`` or a host.

        Returns:
            whether it was newer than the one in force.
        """
        before = self.view.state.revision
        change = self.view.apply(state)
        if change is None:
            return False
        self._since = time.monotonic()
        self.runner.upstreams.evacuated = state.evacuated
        if state.revision:
            logs.info(
                'evacuations_in_force',
                revision=state.revision,
                before=before,
                source=source,
                evacuated=','.join(sorted(state.evacuated)),
                started=','.join(change.started),
                ended=','.join(change.ended),
            )
        for data_centre in change.ended:
            self.on_ended(data_centre)
        self.on_changed()
        return True

    def apply_committed(self, state: evacuation.Evacuations) -> None:
        """Apply a state from the own log, and push it if it is newer."""
        if self.apply(state, 'log') and state.revision:
            self.runner.push_to_followers(evacuation.EvacuationPush(state))

    def broadcast(self) -> None:
        """Send the state in force to every known entry."""
        self.runner.broadcast(evacuation.EvacuationPush(self.view.state))

    def compare_revision(self, host: str, revision: int) -> None:
        """Pull the state of another entry, or push it, after its hello."""
        match self.view.choose_exchange(revision):
            case evacuation.Exchange.PULL:
                self.runner.send_throttled(
                    host,
                    evacuation.EvacuationPull(
                        self.runner.cfg.host, self.view.state.revision
                    ),
                )
            case evacuation.Exchange.PUSH:
                if time.monotonic() - self._since > PUSH_MISSED_S:
                    self.runner.send_throttled(
                        host, evacuation.EvacuationPush(self.view.state)
                    )

    def handlers(self) -> dict[type, Any]:
        """Return the handlers of the messages by message type."""
        return {
            evacuation.EvacuationPull: self.on_pull,
            evacuation.EvacuationPush: self.on_push,
        }

    def on_pull(
        self, sender: links.Sender, message: evacuation.EvacuationPull
    ) -> None:
        """Reply with the state in force if it is newer than the sender's."""
        if self.view.state.revision > message.revision:
            push = evacuation.EvacuationPush(self.view.state)
            self.runner.send(message.host, push)

    def on_push(
        self, sender: links.Sender, message: evacuation.EvacuationPush
    ) -> None:
        """Apply another entry's state if it is newer."""
        self.apply(message.evacuations, sender.host)

    def record_order(self, order: evacuation.Order, outcome: str) -> None:
        """Log and count an operator's order by its outcome."""
        name = 'start' if order.is_start else 'end'
        self.metrics.record_evacuation(name, outcome)
        logs.info(
            'evacuation_order',
            data_centre=order.data_centre,
            order=name,
            outcome=outcome,
            basis=order.basis,
            revision=self.view.state.revision,
            after_s=time.time() - order.at_s,
        )

    def gauges(self) -> dict[str, float]:
        """Return the gauges of evacuations by name."""
        state = self.view.state
        return {
            'evacuated_data_centres': len(state.evacuated),
            'evacuations_revision': state.revision,
            'longest_evacuation_s': state.longest_s(time.time()),
        }
