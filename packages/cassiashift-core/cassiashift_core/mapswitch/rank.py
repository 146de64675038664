"""State machine of one rank, run by the agent beside its engine.

It decides which map each step runs on and holds the step of an arm order
until the outcome is known. It also refuses orders with a stale fence, since
an engine may ignore the fence.
"""

import functools
import random

import attrs

from cassiashift_core import charts
from cassiashift_core.mapswitch import events
from cassiashift_core.mapswitch import messages
from cassiashift_core.mapswitch import settings
from cassiashift_core.mapswitch import steps

NONCE_BITS = 64


@attrs.define(slots=False, eq=False)
class RankSwitch:
    """Decides which map each step of a rank runs on.

    Attributes:
        rng: source of the nonces.
        standing: outcomes in the log, as far as the rank knows them.
        highest: highest fence of an order that was accepted.
        started_step: highest step that was started; ``None`` until the engine
            has asked for a step.
        stalled_s: seconds for which steps were held, over all switches.
        loaded_versions: versions whose weights the engine holds.
        stage_order: order of the open switch to load its weights.
        held_order: arm order whose step is held until the outcome.
    """

    cfg: settings.RankConfig
    rng: random.Random
    standing: messages.Standing = messages.Standing()
    highest: messages.Fence = messages.Fence()
    started_step: int | None = None
    stalled_s: float = 0.0
    loaded_versions: set[int] = attrs.field(factory=set)
    stage_order: messages.Stage | None = None
    held_order: messages.Arm | None = None
    _effects: list = attrs.field(factory=list)
    _arm_order: messages.Arm | None = None
    _held_since: float | None = None
    _missing_entry: messages.MapEntry | None = None
    _loading_version: int | None = None
    _nonce: str = ''
    _last_asked_at: float = float('-inf')

    @classmethod
    def from_config(
        cls, cfg: settings.RankConfig, rng: random.Random | None = None
    ) -> 'RankSwitch':
        """Return a machine in the state ``joining``, which knows no map."""
        machine = cls(cfg, rng or random.Random(cfg.incarnation))
        _chart().bind(machine)
        return machine

    def may_start(self, step: int, now: float) -> steps.Proceed | steps.Hold:
        """Return whether a step may start, and on which version.

        ``Proceed`` counts as the start of the step. After ``Hold`` the caller
        has to repeat the call.
        """
        if self.started_step is None:
            self.started_step = step - 1
        result = self._check_step(step)
        if isinstance(result, steps.Hold):
            if self._held_since is None:
                self._held_since = now
            return result
        if self._held_since is not None:
            self.stalled_s += now - self._held_since
            self._held_since = None
        self._missing_entry = None
        self.started_step = max(self.started_step, step)
        return result

    def handle(self, event: events.Event, now: float) -> list[events.Effect]:
        """Handle an event and return the effects that the caller runs."""
        self._effects = []
        self._on_event(event, now)
        return self._effects

    def _check_step(self, step: int) -> steps.Proceed | steps.Hold:
        if self.state == 'joining':
            return steps.Hold('the current map is not known yet')
        if self.held_order is not None and step >= self.held_order.step:
            return steps.Hold(
                f'outcome of version {self.held_order.version} '
                'is not known yet'
            )
        entry = steps.entry_for(self.standing, step)
        if entry is None:
            return steps.Hold('no committed map covers this step')
        if self.cfg.rank not in entry.ranks:
            return steps.Hold(
                f'the rank is not in the map of version {entry.version}'
            )
        if entry.version not in self.loaded_versions:
            self._missing_entry = entry
            return steps.Hold(
                f'weights of version {entry.version} are not loaded'
            )
        return steps.Proceed(entry.version)

    @functools.singledispatchmethod
    def _on_event(self, event: events.Event, now: float) -> None:
        """Ignore events that only the coordinator handles."""

    @_on_event.register
    def _(self, event: events.Tick, now: float) -> None:
        self._finish_staging()
        missing = self._missing_entry
        if missing is not None and missing.body:
            self._order_load(missing.version, missing.body)
        elif self.state == 'joining' or self._held_since is not None:
            self._send_ask(now)

    @_on_event.register
    def _(self, event: events.WeightsLoaded, now: float) -> None:
        self._loading_version = None
        self.loaded_versions.add(event.version)
        self._finish_staging()

    @_on_event.register
    def _(self, event: events.WeightsFailed, now: float) -> None:
        self._loading_version = None
        if (
            self.stage_order is None
            or self.stage_order.version != event.version
        ):
            return
        self._report(
            messages.StageFailed(
                self.cfg.group, self.cfg.rank, event.version, event.reason
            )
        )
        self.weights_failed()

    @_on_event.register
    def _(self, event: events.Received, now: float) -> None:
        self._receive(event.message, now)

    @functools.singledispatchmethod
    def _receive(self, message: messages.Order, now: float) -> None:
        """Ignore messages that are not orders."""

    @_receive.register
    def _(self, message: messages.Answer, now: float) -> None:
        if message.nonce != self._nonce or self._refuse_if_stale(
            message.fence
        ):
            return
        self._nonce = ''
        self._adopt_standing(message.standing)
        if self.state == 'joining':
            self.learned()

    @_receive.register
    def _(self, message: messages.Decided, now: float) -> None:
        if self.state == 'joining' or self._refuse_if_stale(message.fence):
            return
        self._adopt_standing(message.standing)
        self._report(
            messages.Acknowledged(
                group=self.cfg.group,
                rank=self.cfg.rank,
                incarnation=self.cfg.incarnation,
                index=self.standing.index,
            )
        )

    @_receive.register
    def _(self, message: messages.Stage, now: float) -> None:
        if self.state == 'joining' or self._refuse_if_stale(message.fence):
            return
        self._adopt_standing(message.standing)
        if message.version <= self.standing.decided:
            return
        if self.stage_order is None and self.held_order is None:
            self.stage_order = message
            self.stage()
        elif self.state in ('staged', 'armed'):
            self.report_staged()

    @_receive.register
    def _(self, message: messages.Arm, now: float) -> None:
        if self.state == 'joining' or self._refuse_if_stale(message.fence):
            return
        self._adopt_standing(message.standing)
        if message.version <= self.standing.decided:
            return
        if (
            self.held_order is not None
            and message.round < self.held_order.round
        ):
            return
        if self.started_step is None:
            return
        self._arm_order = message
        if not self._can_hold(message) or not self.arm():
            self._refuse_arm(message)

    def _finish_staging(self) -> None:
        """Enter ``staged`` once the weights are loaded and a step is known."""
        if self.state != 'staging' or self.started_step is None:
            return
        if self.stage_order.version in self.loaded_versions:
            self.weights_loaded()

    def _can_hold(self, order: messages.Arm) -> bool:
        if self.started_step >= order.step:
            return False
        return (
            self.stage_order is None
            or self.stage_order.version == order.version
        )

    def _refuse_arm(self, order: messages.Arm) -> None:
        self._report(
            messages.ArmRefused(
                group=self.cfg.group,
                rank=self.cfg.rank,
                version=order.version,
                round=order.round,
                step=self.started_step,
                staged=self.state in ('staged', 'armed'),
            )
        )

    def _refuse_if_stale(self, fence: messages.Fence) -> bool:
        """Return whether a fence is stale; if so, report the refusal.

        Otherwise it becomes the highest fence.
        """
        if fence >= self.highest:
            self.highest = fence
            return False
        self._report(
            messages.OrderRefused(
                self.cfg.group, self.cfg.rank, fence, self.highest
            )
        )
        return True

    def _adopt_standing(self, standing: messages.Standing) -> None:
        """Adopt the standing unless it is older than the known one.

        A new current map is activated, and a decided switch is closed.
        """
        if standing.index < self.standing.index:
            return
        previous = self.standing
        self.standing = steps.with_bodies(standing, previous, self.stage_order)
        current = standing.current
        if current is not None and current.step != steps.first_step(previous):
            self._effects.append(
                events.ActivateMap(current.version, current.step)
            )
        self._close_decided_switch(standing)

    def _close_decided_switch(self, standing: messages.Standing) -> None:
        order = self.held_order or self.stage_order
        if order is None or order.version > standing.decided:
            return
        current = standing.current
        if current is None or current.version != order.version:
            self.loaded_versions.discard(order.version)
            self._effects.append(events.DropWeights(order.version))
        self.decided()

    def _send_ask(self, now: float) -> None:
        if now - self._last_asked_at < self.cfg.ask_interval_s:
            return
        self._last_asked_at = now
        if not self._nonce:
            self._nonce = f'{self.rng.getrandbits(NONCE_BITS):016x}'
        self._report(
            messages.Ask(
                self.cfg.group,
                self.cfg.rank,
                self.cfg.incarnation,
                self._nonce,
            )
        )

    def _order_load(self, version: int, body: bytes) -> None:
        if self._loading_version == version:
            return
        self._loading_version = version
        self._effects.append(events.LoadWeights(version, body))

    def _report(self, message: messages.Report) -> None:
        self._effects.append(events.SendToCoordinator(message))

    def leaves(self) -> bool:
        """Return whether the new map of the arm order omits this rank."""
        return not self._arm_order.member

    def forget_switch(self) -> None:
        """Clear the orders of the switch that has ended."""
        self.stage_order = None
        self.held_order = None

    def load_staged(self) -> None:
        """Order the engine to load the weights of the staged map."""
        self._order_load(self.stage_order.version, self.stage_order.body)

    def report_staged(self) -> None:
        """Report that the weights are loaded, with the last started step."""
        self._report(
            messages.Staged(
                group=self.cfg.group,
                rank=self.cfg.rank,
                incarnation=self.cfg.incarnation,
                version=self.stage_order.version,
                step=self.started_step,
            )
        )

    def report_armed(self) -> None:
        """Hold the step of the arm order until the outcome, and report it."""
        self.held_order = self._arm_order
        self._report(
            messages.Armed(
                group=self.cfg.group,
                rank=self.cfg.rank,
                incarnation=self.cfg.incarnation,
                version=self.held_order.version,
                step=self.held_order.step,
                round=self.held_order.round,
            )
        )


@functools.cache
def _chart() -> charts.Chart:
    return charts.load(__package__, 'rank.toml', RankSwitch)
