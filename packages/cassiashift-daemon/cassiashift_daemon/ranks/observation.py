"""Measures what a coordinator does and how its group runs, for the log."""

import collections
from collections.abc import Iterator
import contextlib
import time

import attrs

from cassiashift_core import rankmaps


@attrs.define
class PassTimes:
    """Times between the passes of a group that has requests.

    Reports are up to half a second old, so a time is exact only within the
    interval between the reports of any two ranks.

    Attributes:
        newest_step: the last pass that any rank has reported.
        began_at: when that was first reported; None after the group had no
            requests, as the time until the next pass is not the length of one.
    """

    newest_step: int = -1
    began_at: float | None = None
    _count: int = 0
    _total_s: float = 0.0
    _longest_s: float = 0.0
    _busy_ranks: set[int] = attrs.field(factory=set)

    def record(self, report: rankmaps.RankReport, now: float) -> None:
        """Record a report of any rank."""
        if report.running or report.queued:
            self._busy_ranks.add(report.rank)
        else:
            self._busy_ranks.discard(report.rank)
        if report.step > self.newest_step:
            if self.began_at is not None:
                passes = report.step - self.newest_step
                spent_s = now - self.began_at
                self._count += passes
                self._total_s += spent_s
                self._longest_s = max(self._longest_s, spent_s / passes)
            self.newest_step = report.step
            self.began_at = now
        if not self._busy_ranks:
            self.began_at = None

    def take(self) -> dict[str, float]:
        """Return number, mean and longest time since the last call."""
        mean_s = self._total_s / self._count if self._count else 0.0
        summary = {
            'passes': self._count,
            'pass_s': mean_s,
            'longest_pass_s': self._longest_s,
        }
        self._count, self._total_s, self._longest_s = 0, 0.0, 0.0
        return summary


@attrs.define
class SwitchTimes:
    """How long one switch has spent in each phase, and the orders it took.

    Attributes:
        phase: the current phase.
        began_at: when that phase began.
    """

    phase: rankmaps.Phase
    began_at: float
    _phase_s: dict[rankmaps.Phase, float] = attrs.field(
        factory=lambda: collections.defaultdict(float)
    )
    _orders: collections.Counter = attrs.field(factory=collections.Counter)
    _reached: tuple[int, float] | None = None

    def record_order(self, order: rankmaps.Order) -> None:
        """Count an order of the switch."""
        self._orders[order.kind, order.rank, order.version, order.step] += 1

    def record(
        self, switch: rankmaps.Switch, newest_step: int, now: float
    ) -> None:
        """Record the phase, and whether the held pass is the next one."""
        if self._reached is None or self._reached[0] != switch.step:
            is_next = 0 < switch.step <= newest_step + 1
            self._reached = (switch.step, now) if is_next else None
        if switch.phase is not self.phase:
            self._phase_s[self.phase] += now - self.began_at
            self.phase, self.began_at = switch.phase, now

    def summary(self, now: float) -> dict[str, float]:
        """Return the time of each phase, and the orders.

        ``waited_s`` is the time from the report of the pass before the held
        one to the end; what exceeds the length of a pass is a stall.
        """
        reached_at = now if self._reached is None else self._reached[1]
        return {
            **{
                f'{phase.value}_s': self._phase_s[phase]
                for phase in rankmaps.Phase
                if phase is not rankmaps.Phase.DONE
            },
            'waited_s': now - reached_at,
            'orders': self._orders.total(),
            'repeated': self._orders.total() - len(self._orders),
        }


@attrs.define
class ProcessorTimes:
    """Processor time of the calling thread, by kind of work."""

    _spent_s: dict[str, float] = attrs.field(
        factory=lambda: collections.defaultdict(float)
    )

    @contextlib.contextmanager
    def measure(self, kind: str) -> Iterator[None]:
        """Add the processor time of a block of code to a kind of work."""
        started = time.thread_time()
        try:
            yield
        finally:
            self._spent_s[kind] += time.thread_time() - started

    def take(self) -> dict[str, float]:
        """Return the seconds since the last call, by kind of work."""
        spent_s = {f'{kind}_cpu_s': s for kind, s in self._spent_s.items()}
        self._spent_s.clear()
        return spent_s
