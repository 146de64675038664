"""What engines publish: load reports with a lag, cache events with gaps."""

from collections.abc import Callable
import functools
import random

import attrs

from cassiashift_core.experiment import engine as engines
from cassiashift_core.experiment import entry as entries
from cassiashift_core.experiment import model
from cassiashift_core import routing

EVENT_PERIOD_S = 0.2
RESYNC_S = 1.0
Action = Callable[[float], None]


@attrs.define(eq=False)
class Feeds:
    """Carries the engines' news to the entries.

    Attributes:
        at: schedules an action for a time.
    """

    cfg: model.EngineConfig
    report_lag_s: float
    engines: dict[str, engines.Engine]
    entries: list[entries.Entry]
    rng: random.Random
    at: Callable[[float, Action], None]
    _sequences: dict[str, int] = attrs.field(factory=dict)
    _resyncs: set[tuple[str, str]] = attrs.field(factory=set)

    def start(self) -> None:
        """Start the feeds of all engines, spread over their periods."""
        for index, engine in enumerate(self.engines.values()):
            offset = index / len(self.engines)
            report = functools.partial(self._report, engine)
            self.at(offset * self.cfg.report_period_s, report)
            event = functools.partial(self._cache_event, engine)
            self.at(offset * EVENT_PERIOD_S, event)

    def _report(self, engine: engines.Engine, now: float) -> None:
        if not engine.alive:
            return
        report = routing.LoadReport(
            engine.id, now, len(engine.works), engine.pending_tokens
        )
        lag = self.report_lag_s
        self.at(now + lag, functools.partial(self._deliver_report, report))
        period = self.cfg.report_period_s
        self.at(now + period, functools.partial(self._report, engine))

    def _deliver_report(self, report: routing.LoadReport, now: float) -> None:
        for owner in self.entries:
            owner.policy.apply_report(report, now)

    def _cache_event(self, engine: engines.Engine, now: float) -> None:
        if not engine.alive:
            return
        again = functools.partial(self._cache_event, engine)
        self.at(now + EVENT_PERIOD_S, again)
        if not engine.stored and not engine.evicted:
            return
        sequence = self._sequences.get(engine.id, -1) + 1
        self._sequences[engine.id] = sequence
        event = routing.CacheEvent(
            engine.id, 0, sequence, tuple(engine.stored), tuple(engine.evicted)
        )
        engine.stored.clear()
        engine.evicted.clear()
        if self.rng.random() < self.cfg.event_loss:
            return
        deliver = functools.partial(self._deliver_cache_event, event)
        self.at(now + self.cfg.event_lag_s, deliver)

    def _deliver_cache_event(
        self, event: routing.CacheEvent, now: float
    ) -> None:
        for owner in self.entries:
            wanted = owner.policy.apply_cache_event(event, now)
            key = (owner.id, event.upstream_id)
            if wanted is not None and key not in self._resyncs:
                self._resyncs.add(key)
                resync = functools.partial(self._resync, owner, event)
                self.at(now + RESYNC_S, resync)

    def _resync(
        self, owner: entries.Entry, event: routing.CacheEvent, now: float
    ) -> None:
        self._resyncs.discard((owner.id, event.upstream_id))
        engine = self.engines[event.upstream_id]
        if not engine.alive:
            return
        snapshot = routing.CacheEvent(
            engine.id,
            0,
            self._sequences[engine.id],
            engine.cached_blocks(),
            snapshot=True,
        )
        owner.policy.apply_cache_event(snapshot, now)
