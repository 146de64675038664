"""A small simulated model engine with continuous batching.

Each step generates one token for every decoding sequence and prefills a chunk
of the prompts in the batch. Prompt blocks are kept in a least-recently-used
cache, and the prompt tokens found in it are counted.
"""

import collections
from collections.abc import Sequence
import heapq

import attrs

from cassiashift_core import admission
from cassiashift_core.experiment import model


@attrs.define(eq=False)
class EngineAttempt:
    """One attempt in the engine's queue or batch.

    Attributes:
        prompt_tokens: the prompt and the output tokens to resume from.
        blocks: hashes of the prompt's full blocks.
        output_tokens: tokens that this attempt has to generate.
        ready_at: time at which moved blocks have arrived.
        moved_blocks: first blocks of the prompt that need no prefill once
            the move is complete.
        left_to_prefill: prompt tokens not yet prefilled.
        generated: output tokens generated so far.
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
    """The first token of an attempt was generated."""

    attempt_id: str


@attrs.frozen
class Progress:
    """Tokens were generated since the last event of the attempt."""

    attempt_id: str
    tokens: int


@attrs.frozen
class Finished:
    """The last token of an attempt was generated; ``tokens`` counts all."""

    attempt_id: str
    tokens: int


StepEvent = FirstToken | Progress | Finished


@attrs.define
class Engine:
    """An engine and its agent's limit of concurrent calls.

    Attributes:
        slowdown: factor on the time of every step.
        stepping: whether a step, or a wait for moved blocks, is scheduled.
        slots: the agent's allocation of slots to entries.
        attempts: attempts in progress by id.
        token_gaps: number of token gaps by step time in units of 0.1 ms.
        prompt_tokens: prompt tokens of all attempts started so far.
        hit_tokens: the part of them that needed no prefill.
        stored_blocks: blocks cached since the last cache event.
        evicted_blocks: blocks evicted since the last cache event.
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
    attempts: dict[str, EngineAttempt] = attrs.field(factory=dict)
    token_gaps: collections.Counter[int] = attrs.field(
        factory=collections.Counter
    )
    prompt_tokens: int = 0
    hit_tokens: int = 0
    stored_blocks: list[int] = attrs.field(factory=list)
    evicted_blocks: list[int] = attrs.field(factory=list)
    _queued: collections.deque[EngineAttempt] = attrs.field(
        factory=collections.deque
    )
    _prefilling: collections.deque[EngineAttempt] = attrs.field(
        factory=collections.deque
    )
    _decoding: int = 0
    _steps: int = 0
    _progress_due: list[tuple[int, int, EngineAttempt]] = attrs.field(
        factory=list
    )
    _sequence: int = 0
    _cache: dict[int, None] = attrs.field(factory=dict)
    _prefill_done: list[EngineAttempt] = attrs.field(factory=list)
    _step_s: float = 0.0

    @property
    def pending_tokens(self) -> int:
        """Prompt tokens that are not yet prefilled.

        Cache hits of queued attempts are not subtracted.
        """
        queued = sum(attempt.prompt_tokens for attempt in self._queued)
        return queued + sum(
            attempt.left_to_prefill for attempt in self._prefilling
        )

    def submit(self, attempt: EngineAttempt) -> bool:
        """Queue an attempt and return whether the agent accepted it."""
        if not self.slots.start(attempt.entry):
            return False
        self.attempts[attempt.attempt_id] = attempt
        self._queued.append(attempt)
        return True

    @property
    def idle_step_s(self) -> float:
        """Duration of a step without any attempt."""
        return self.slowdown * self.cfg.step_s

    def begin_step(self, now: float) -> float | None:
        """Start a step and return its duration, or None if idle.

        If all attempts wait for moved blocks, the time until the first of
        them is ready is returned and nothing is generated.
        """
        self._fill_batch(now)
        if not self._decoding and not self._prefilling:
            return self._wait_s(now)
        chunk_budget = self.cfg.chunk_tokens
        self._prefill_done = []
        for attempt in list(self._prefilling):
            chunk = min(chunk_budget, attempt.left_to_prefill)
            attempt.left_to_prefill -= chunk
            chunk_budget -= chunk
            if not attempt.left_to_prefill:
                self._prefill_done.append(attempt)
            if not chunk_budget:
                break
        prefilled = self.cfg.chunk_tokens - chunk_budget
        self._step_s = self.slowdown * (
            self.cfg.step_s
            + self._decoding * self.cfg.decode_s
            + prefilled * self.cfg.prefill_s
        )
        return self._step_s

    def end_step(self) -> list[StepEvent]:
        """Finish the step and return its events, none after a wait."""
        if not self._decoding and not self._prefilling:
            return []
        self._steps += 1
        self.token_gaps[round(self._step_s * 10_000)] += self._decoding
        events = self._collect_progress()
        for attempt in self._prefill_done:
            self._prefilling.remove(attempt)
            self._store_blocks(attempt.blocks)
            attempt.generated = 1
            events.append(FirstToken(attempt.attempt_id))
            if attempt.output_tokens <= 1:
                events.append(self._finish(attempt))
                continue
            self._decoding += 1
            self._schedule_progress(attempt)
        self._prefill_done = []
        return events

    def cancel(self, attempt_id: str) -> None:
        """Remove an attempt, cancelled by its entry, if it has not ended."""
        attempt = self.attempts.pop(attempt_id, None)
        if attempt is None:
            return
        self.slots.finish(attempt.entry)
        attempt.cancelled = True
        if attempt in self._queued:
            self._queued.remove(attempt)
        elif attempt in self._prefilling:
            self._prefilling.remove(attempt)
            self._prefill_done = [
                item for item in self._prefill_done if item is not attempt
            ]
        else:
            self._decoding -= 1

    def fail(self) -> list[str]:
        """Mark the engine as dead; return the ids of attempts in progress."""
        self.alive = False
        attempt_ids = list(self.attempts)
        self.attempts.clear()
        return attempt_ids

    def cached_blocks(self) -> tuple[int, ...]:
        """Return the cached blocks, least recently used first."""
        return tuple(self._cache)

    def _wait_s(self, now: float) -> float | None:
        """Return the time until a queued attempt is ready, None if none is."""
        times = [attempt.ready_at - now for attempt in self._queued]
        return max(min(times), 1e-4) if times else None

    def _fill_batch(self, now: float) -> None:
        free_places = self.cfg.batch - self._decoding - len(self._prefilling)
        for attempt in list(self._queued):
            if free_places <= 0:
                return
            if attempt.ready_at > now:
                continue
            self._queued.remove(attempt)
            self._prefilling.append(attempt)
            self._match_prefix(attempt)
            free_places -= 1

    def _match_prefix(self, attempt: EngineAttempt) -> None:
        """Set the tokens to prefill, less those of cached and moved blocks."""
        cached = 0
        for block in attempt.blocks:
            if block not in self._cache:
                break
            cached += 1
        available = max(cached, attempt.moved_blocks)
        left = attempt.prompt_tokens - available * model.BLOCK_TOKENS
        attempt.left_to_prefill = max(1, left)
        self.prompt_tokens += attempt.prompt_tokens
        self.hit_tokens += attempt.prompt_tokens - attempt.left_to_prefill
        self._store_blocks(attempt.blocks[:available])

    def _store_blocks(self, blocks: Sequence[int]) -> None:
        for block in blocks:
            if block in self._cache:
                del self._cache[block]
            else:
                self.stored_blocks.append(block)
            self._cache[block] = None
        while len(self._cache) > self.cfg.cache_blocks:
            oldest = next(iter(self._cache))
            del self._cache[oldest]
            self.evicted_blocks.append(oldest)

    def _schedule_progress(self, attempt: EngineAttempt) -> None:
        left = attempt.output_tokens - attempt.generated
        step = self._steps + min(self.cfg.progress_tokens, left)
        self._sequence += 1
        heapq.heappush(self._progress_due, (step, self._sequence, attempt))

    def _collect_progress(self) -> list[StepEvent]:
        events: list[StepEvent] = []
        while self._progress_due and self._progress_due[0][0] <= self._steps:
            _, _, attempt = heapq.heappop(self._progress_due)
            if attempt.cancelled:
                continue
            left = attempt.output_tokens - attempt.generated
            tokens = min(self.cfg.progress_tokens, left)
            attempt.generated += tokens
            events.append(Progress(attempt.attempt_id, tokens))
            if attempt.generated >= attempt.output_tokens:
                self._decoding -= 1
                events.append(self._finish(attempt))
            else:
                self._schedule_progress(attempt)
        return events

    def _finish(self, attempt: EngineAttempt) -> Finished:
        del self.attempts[attempt.attempt_id]
        self.slots.finish(attempt.entry)
        return Finished(attempt.attempt_id, attempt.generated)
