"""Delivers load reports, with a lag, and cache events, with some losses."""

from collections.abc import Callable
import functools
import random

import attrs

from cassiashift_core.experiment import engine as engines
from cassiashift_core.experiment import entry as entries
from cassiashift_core.experiment import model
from cassiashift_core import routing

CACHE_EVENT_PERIOD_S = 0.2
RESYNC_DELAY_S = 1.0
Action = Callable[[float], None]


@attrs.define(eq=False)
class Feeds:
    """Delivers load reports and cache events of engines to all entries.

    Attributes:
        schedule: called with a time and an action to run then.
    """

    cfg: model.EngineConfig
    report_lag_s: float
    engines: dict[str, engines.Engine]
    entries: list[entries.Entry]
    rng: random.Random
    schedule: Callable[[float, Action], None]
    _sequences: dict[str, int] = attrs.field(factory=dict)
    _pending_resyncs: set[tuple[str, str]] = attrs.field(factory=set)

    def start(self) -> None:
        """Schedule the first report and cache event of every engine.

        Engines are spread evenly over the periods.
        """
        for index, engine in enumerate(self.engines.values()):
            offset = index / len(self.engines)
            report = functools.partial(self._publish_report, engine)
            self.schedule(offset * self.cfg.report_period_s, report)
            event = functools.partial(self._publish_cache_event, engine)
            self.schedule(offset * CACHE_EVENT_PERIOD_S, event)

    def _publish_report(self, engine: engines.Engine, now: float) -> None:
        if not engine.alive:
            return
        report = routing.LoadReport(
            engine.id, now, len(engine.attempts), engine.pending_tokens
        )
        lag_s = self.report_lag_s
        self.schedule(
            now + lag_s, functools.partial(self._deliver_report, report)
        )
        period_s = self.cfg.report_period_s
        self.schedule(
            now + period_s, functools.partial(self._publish_report, engine)
        )

    def _deliver_report(self, report: routing.LoadReport, now: float) -> None:
        for entry in self.entries:
            entry.policy.apply_report(report, now)

    def _publish_cache_event(self, engine: engines.Engine, now: float) -> None:
        if not engine.alive:
            return
        repeat = functools.partial(self._publish_cache_event, engine)
        self.schedule(now + CACHE_EVENT_PERIOD_S, repeat)
        if not engine.stored_blocks and not engine.evicted_blocks:
            return
        sequence = self._sequences.get(engine.id, -1) + 1
        self._sequences[engine.id] = sequence
        event = routing.CacheEvent(
            engine.id,
            0,
            sequence,
            tuple(engine.stored_blocks),
            tuple(engine.evicted_blocks),
        )
        engine.stored_blocks.clear()
        engine.evicted_blocks.clear()
        if self.rng.random() < self.cfg.event_loss:
            return
        deliver = functools.partial(self._deliver_cache_event, event)
        self.schedule(now + self.cfg.event_lag_s, deliver)

    def _deliver_cache_event(
        self, event: routing.CacheEvent, now: float
    ) -> None:
        for entry in self.entries:
            resync_needed = entry.policy.apply_cache_event(event, now)
            key = (entry.id, event.upstream_id)
            if resync_needed is not None and key not in self._pending_resyncs:
                self._pending_resyncs.add(key)
                resync = functools.partial(self._resync, entry, event)
                self.schedule(now + RESYNC_DELAY_S, resync)

    def _resync(
        self, entry: entries.Entry, event: routing.CacheEvent, now: float
    ) -> None:
        self._pending_resyncs.discard((entry.id, event.upstream_id))
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
        entry.policy.apply_cache_event(snapshot, now)
