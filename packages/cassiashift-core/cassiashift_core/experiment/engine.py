"""A small stand-in of a model engine.

It batches continuously: each step gives one token to every sequence that
decodes and prefills a chunk of the prompts that wait for it. It keeps a
least-recently-used cache of prompt blocks and counts what it found there.
"""

import collections
from collections.abc import Sequence
import heapq

import attrs

from cassiashift_core import admission
from cassiashift_core.experiment import model

PROGRESS_TOKENS = 16


@attrs.define(eq=False)
class Work:
    """One attempt as the engine sees it.

    Attributes:
        prompt_tokens: prompt and tokens to resume from.
        output_tokens: tokens still to be generated.
        ready_at: when moved blocks will have arrived.
    """

    attempt_id: str
    entry: str
    prompt_tokens: int
    blocks: tuple[int, ...]
    output_tokens: int
    ready_at: float = 0.0
    moved_blocks: int = 0
    left_to_prefill: int = 0
    generated: int = 0
    cancelled: bool = False


@attrs.frozen
class FirstToken:
    """A first token was generated."""

    attempt_id: str


@attrs.frozen
class Progress:
    """Tokens were generated since the last progress."""

    attempt_id: str
    tokens: int


@attrs.frozen
class Finished:
    """The last token was generated."""

    attempt_id: str
    tokens: int


StepEvent = FirstToken | Progress | Finished


@attrs.define
class Engine:
    """An engine with its agent's bound on calls.

    Attributes:
        slowdown: factor on the time of every step.
        gaps: number of token gaps by step time in units of 0.1 ms.
    """

    id: str
    cfg: model.EngineConfig
    alive: bool = True
    slowdown: float = 1.0
    stepping: bool = False
    slots: admission.SlotTable = attrs.field(
        default=attrs.Factory(
            lambda self: admission.SlotTable(self.cfg.concurrency),
            takes_self=True,
        )
    )
    works: dict[str, Work] = attrs.field(factory=dict)
    gaps: collections.Counter[int] = attrs.field(factory=collections.Counter)
    prompt_tokens: int = 0
    hit_tokens: int = 0
    stored: list[int] = attrs.field(factory=list)
    evicted: list[int] = attrs.field(factory=list)
    _waiting: collections.deque[Work] = attrs.field(factory=collections.deque)
    _prefilling: collections.deque[Work] = attrs.field(
        factory=collections.deque
    )
    _decoding: int = 0
    _steps: int = 0
    _due: list[tuple[int, int, Work]] = attrs.field(factory=list)
    _numbers: int = 0
    _cache: dict[int, None] = attrs.field(factory=dict)
    _first: list[Work] = attrs.field(factory=list)
    _step_s: float = 0.0

    @property
    def pending_tokens(self) -> int:
        """Return the prompt tokens not yet prefilled, cache hits apart."""
        waiting = sum(work.prompt_tokens for work in self._waiting)
        return waiting + sum(work.left_to_prefill for work in self._prefilling)

    def submit(self, work: Work) -> bool:
        """Take an attempt; return False where the agent refuses it."""
        if not self.slots.start(work.entry):
            return False
        self.works[work.attempt_id] = work
        self._waiting.append(work)
        return True

    def begin_step(self, now: float) -> float | None:
        """Start a step; return its time, or None with nothing to do."""
        self._fill_batch(now)
        if not self._decoding and not self._prefilling:
            return self._idle_s(now)
        budget = self.cfg.chunk_tokens
        self._first = []
        for work in list(self._prefilling):
            chunk = min(budget, work.left_to_prefill)
            work.left_to_prefill -= chunk
            budget -= chunk
            if not work.left_to_prefill:
                self._first.append(work)
            if not budget:
                break
        prefilled = self.cfg.chunk_tokens - budget
        self._step_s = self.slowdown * (
            self.cfg.step_s
            + self._decoding * self.cfg.decode_s
            + prefilled * self.cfg.prefill_s
        )
        return self._step_s

    def end_step(self) -> list[StepEvent]:
        """Finish the step; return what it generated."""
        if not self._decoding and not self._prefilling:
            return []
        self._steps += 1
        self.gaps[round(self._step_s * 10_000)] += self._decoding
        events = self._collect_due()
        for work in self._first:
            self._prefilling.remove(work)
            self._keep(work.blocks)
            work.generated = 1
            events.append(FirstToken(work.attempt_id))
            if work.output_tokens <= 1:
                events.append(self._finish(work))
                continue
            self._decoding += 1
            self._schedule(work)
        self._first = []
        return events

    def cancel(self, attempt_id: str) -> None:
        """Stop an attempt that its caller gave up."""
        work = self.works.pop(attempt_id, None)
        if work is None:
            return
        self.slots.finish(work.entry)
        work.cancelled = True
        if work in self._waiting:
            self._waiting.remove(work)
        elif work in self._prefilling:
            self._prefilling.remove(work)
            self._first = [item for item in self._first if item is not work]
        else:
            self._decoding -= 1

    def lose(self) -> list[str]:
        """Stop for good; return the attempts that were in progress."""
        self.alive = False
        lost = list(self.works)
        self.works.clear()
        return lost

    def cached_blocks(self) -> tuple[int, ...]:
        """Return the cached blocks, least recently used first."""
        return tuple(self._cache)

    def _idle_s(self, now: float) -> float | None:
        """Return the time until moved blocks let a sequence start."""
        times = [work.ready_at - now for work in self._waiting]
        return max(min(times), 1e-4) if times else None

    def _fill_batch(self, now: float) -> None:
        free = self.cfg.batch - self._decoding - len(self._prefilling)
        for work in list(self._waiting):
            if free <= 0:
                return
            if work.ready_at > now:
                continue
            self._waiting.remove(work)
            self._prefilling.append(work)
            self._look_up(work)
            free -= 1

    def _look_up(self, work: Work) -> None:
        """Set what is left to prefill, after the cache and the move."""
        hits = 0
        for block in work.blocks:
            if block not in self._cache:
                break
            hits += 1
        moved = max(hits, work.moved_blocks)
        left = work.prompt_tokens - moved * model.BLOCK_TOKENS
        work.left_to_prefill = max(1, left)
        self.prompt_tokens += work.prompt_tokens
        self.hit_tokens += work.prompt_tokens - work.left_to_prefill
        self._keep(work.blocks[:moved])

    def _keep(self, blocks: Sequence[int]) -> None:
        for block in blocks:
            if block in self._cache:
                del self._cache[block]
            else:
                self.stored.append(block)
            self._cache[block] = None
        while len(self._cache) > self.cfg.cache_blocks:
            oldest = next(iter(self._cache))
            del self._cache[oldest]
            self.evicted.append(oldest)

    def _schedule(self, work: Work) -> None:
        left = work.output_tokens - work.generated
        step = self._steps + min(PROGRESS_TOKENS, left)
        self._numbers += 1
        heapq.heappush(self._due, (step, self._numbers, work))

    def _collect_due(self) -> list[StepEvent]:
        events: list[StepEvent] = []
        while self._due and self._due[0][0] <= self._steps:
            _, _, work = heapq.heappop(self._due)
            if work.cancelled:
                continue
            left = work.output_tokens - work.generated
            tokens = min(PROGRESS_TOKENS, left)
            work.generated += tokens
            events.append(Progress(work.attempt_id, tokens))
            if work.generated >= work.output_tokens:
                self._decoding -= 1
                events.append(self._finish(work))
            else:
                self._schedule(work)
        return events

    def _finish(self, work: Work) -> Finished:
        del self.works[work.attempt_id]
        self.slots.finish(work.entry)
        return Finished(work.attempt_id, work.generated)
