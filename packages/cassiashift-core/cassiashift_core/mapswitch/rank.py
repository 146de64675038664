"""The machine of one rank, run by the agent beside its engine.

It decides which map each step runs on, keeps the promise of an arm order,
and refuses orders that are older than one seen before on behalf of engines
that ignore the number.
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
    """Decide which map each step of a rank runs on.

    Attributes:
        started: the highest step that was started; unknown until the
            engine has asked for a step.
        stalled_s: seconds for which steps were held, over all switches.
    """

    cfg: settings.RankConfig
    rng: random.Random
    standing: messages.Standing = messages.Standing()
    highest: messages.Fence = messages.Fence()
    started: int | None = None
    stalled_s: float = 0.0
    loaded: set[int] = attrs.field(factory=set)
    switch: messages.Stage | None = None
    promise: messages.Arm | None = None
    _effects: list = attrs.field(factory=list)
    _arm_order: messages.Arm | None = None
    _held_since: float | None = None
    _wanted: messages.MapEntry | None = None
    _loading: int | None = None
    _nonce: str = ''
    _asked_at: float = float('-inf')

    @classmethod
    def from_config(
        cls, cfg: settings.RankConfig, rng: random.Random | None = None
    ) -> 'RankSwitch':
        """Return the machine of a rank that knows no map yet."""
        machine = cls(cfg, rng or random.Random(cfg.incarnation))
        _chart().bind(machine)
        return machine

    def may_start(self, step: int, now: float) -> steps.Proceed | steps.Hold:
        """Tell whether a step may start, and on which version.

        ``Proceed`` counts as the start of the step.
        """
        if self.started is None:
            self.started = step - 1
        verdict = self._judge(step)
        if isinstance(verdict, steps.Hold):
            if self._held_since is None:
                self._held_since = now
            return verdict
        if self._held_since is not None:
            self.stalled_s += now - self._held_since
            self._held_since = None
        self._wanted = None
        self.started = max(self.started, step)
        return verdict

    def handle(self, event: events.Event, now: float) -> list[events.Effect]:
        """Handle an event and return what has to be done."""
        self._effects = []
        self._on(event, now)
        return self._effects

    def _judge(self, step: int) -> steps.Proceed | steps.Hold:
        if self.state == 'joining':
            return steps.Hold('the current map is not known yet')
        if self.promise is not None and step >= self.promise.step:
            return steps.Hold(
                f'outcome of version {self.promise.version} unknown'
            )
        entry = steps.entry_for(self.standing, step)
        if entry is None:
            return steps.Hold('no map is in force at this step')
        if self.cfg.rank not in entry.ranks:
            return steps.Hold(f'not a rank of version {entry.version}')
        if entry.version not in self.loaded:
            self._wanted = entry
            return steps.Hold(f'weights of version {entry.version} not loaded')
        return steps.Proceed(entry.version)

    @functools.singledispatchmethod
    def _on(self, event: events.Event, now: float) -> None:
        """Ignore events that only concern the coordinator."""

    @_on.register
    def _(self, event: events.Tick, now: float) -> None:
        self._finish_staging()
        wanted = self._wanted
        if wanted is not None and wanted.body:
            self._load(wanted.version, wanted.body)
        elif self.state == 'joining' or self._held_since is not None:
            self._ask(now)

    @_on.register
    def _(self, event: events.WeightsLoaded, now: float) -> None:
        self._loading = None
        self.loaded.add(event.version)
        self._finish_staging()

    @_on.register
    def _(self, event: events.WeightsFailed, now: float) -> None:
        self._loading = None
        if self.switch is None or self.switch.version != event.version:
            return
        self._report(
            messages.StageFailed(
                self.cfg.group, self.cfg.rank, event.version, event.reason
            )
        )
        self.weights_failed()

    @_on.register
    def _(self, event: events.Received, now: float) -> None:
        self._receive(event.message, now)

    @functools.singledispatchmethod
    def _receive(self, message: messages.Order, now: float) -> None:
        """Ignore messages that are no orders."""

    @_receive.register
    def _(self, message: messages.Answer, now: float) -> None:
        if message.nonce != self._nonce or self._is_old(message.fence):
            return
        self._nonce = ''
        self._learn(message.standing)
        if self.state == 'joining':
            self.learned()

    @_receive.register
    def _(self, message: messages.Decided, now: float) -> None:
        if self.state == 'joining' or self._is_old(message.fence):
            return
        self._learn(message.standing)
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
        if self.state == 'joining' or self._is_old(message.fence):
            return
        self._learn(message.standing)
        if message.version <= self.standing.decided:
            return
        if self.switch is None and self.promise is None:
            self.switch = message
            self.stage()
        elif self.state in ('staged', 'armed'):
            self.report_staged()

    @_receive.register
    def _(self, message: messages.Arm, now: float) -> None:
        if self.state == 'joining' or self._is_old(message.fence):
            return
        self._learn(message.standing)
        if message.version <= self.standing.decided:
            return
        if self.promise is not None and message.round < self.promise.round:
            return
        if self.started is None:
            return
        self._arm_order = message
        if not self._can_hold(message) or not self.arm():
            self._refuse_arm(message)

    def _finish_staging(self) -> None:
        """Report staged weights once the engine's step is known."""
        if self.state != 'staging' or self.started is None:
            return
        if self.switch.version in self.loaded:
            self.weights_loaded()

    def _can_hold(self, order: messages.Arm) -> bool:
        if self.started >= order.step:
            return False
        return self.switch is None or self.switch.version == order.version

    def _refuse_arm(self, order: messages.Arm) -> None:
        self._report(
            messages.ArmRefused(
                group=self.cfg.group,
                rank=self.cfg.rank,
                version=order.version,
                round=order.round,
                step=self.started,
                staged=self.state in ('staged', 'armed'),
            )
        )

    def _is_old(self, fence: messages.Fence) -> bool:
        if fence >= self.highest:
            self.highest = fence
            return False
        self._report(
            messages.OrderRefused(
                self.cfg.group, self.cfg.rank, fence, self.highest
            )
        )
        return True

    def _learn(self, standing: messages.Standing) -> None:
        """Take over newer facts of the log and end what they decide."""
        if standing.index < self.standing.index:
            return
        before = self.standing
        self.standing = steps.with_bodies(standing, before, self.switch)
        current = standing.current
        if current is not None and current.step != steps.first_step(before):
            self._effects.append(
                events.ActivateMap(current.version, current.step)
            )
        self._end_switch(standing)

    def _end_switch(self, standing: messages.Standing) -> None:
        order = self.promise or self.switch
        if order is None or order.version > standing.decided:
            return
        current = standing.current
        if current is None or current.version != order.version:
            self.loaded.discard(order.version)
            self._effects.append(events.DropWeights(order.version))
        self.decided()

    def _ask(self, now: float) -> None:
        if now - self._asked_at < self.cfg.ask_interval_s:
            return
        self._asked_at = now
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

    def _load(self, version: int, body: bytes) -> None:
        if self._loading == version:
            return
        self._loading = version
        self._effects.append(events.LoadWeights(version, body))

    def _report(self, message: messages.Report) -> None:
        self._effects.append(events.SendToCoordinator(message))

    def leaves(self) -> bool:
        """Tell whether the arm order is for a rank that leaves."""
        return not self._arm_order.member

    def forget_switch(self) -> None:
        """Forget the switch that has ended."""
        self.switch = None
        self.promise = None

    def load_staged(self) -> None:
        """Load the weights of the map that was staged."""
        self._load(self.switch.version, self.switch.body)

    def report_staged(self) -> None:
        """Report that the weights are loaded, and how far the rank is."""
        self._report(
            messages.Staged(
                group=self.cfg.group,
                rank=self.cfg.rank,
                incarnation=self.cfg.incarnation,
                version=self.switch.version,
                step=self.started,
            )
        )

    def report_armed(self) -> None:
        """Promise to hold the step, and report it."""
        self.promise = self._arm_order
        self._report(
            messages.Armed(
                group=self.cfg.group,
                rank=self.cfg.rank,
                incarnation=self.cfg.incarnation,
                version=self.promise.version,
                step=self.promise.step,
                round=self.promise.round,
            )
        )


@functools.cache
def _chart() -> charts.Chart:
    return charts.load(__package__, 'rank.toml', RankSwitch)
