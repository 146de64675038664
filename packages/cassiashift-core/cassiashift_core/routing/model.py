"""Settings, requests and results of routing."""

import enum

import attrs

from cassiashift_core import errors
from cassiashift_core import manifest
from cassiashift_core import verdicts


@attrs.frozen
class RoutingConfig:
    """Settings of the router of one entry.

    Attributes:
        aperture: fewest upstreams of a pool that an entry uses.
        block_tokens: prompt tokens in one block of a prefix cache.
        cache_blocks: most blocks tracked for one upstream.
        total_blocks: most blocks tracked over all upstreams.
        first_token_floor_s: time to a first token on an idle upstream
            with nothing to prefill.
        prefill_s_per_token: nominal time to prefill one token.
        step_s: nominal time of a decoding step with one sequence.
        queue_target_s: bound on the time that a call waits in an upstream
            before its own prefill.
        token_gap_target_s: bound on the time between tokens.
        gap_price: weight of the time between tokens, relative to the time
            to the first token.
        move_latency_s: fixed time of a move of cached blocks.
        move_s_per_block: time to move one cached block.
        remote_price_s: added to the score of an upstream in another data
            centre.
        tie_margin_s: scores within this margin of the lowest count as
            equal.
        report_max_age_s: an older load report is not used.
        slow_start_s: time over which a new upstream's limit rises to its
            full value.
        slow_ratio: ratio of slowness, or time between tokens, to the
            pool's median above which the breaker trips.
        refused_pause_s: time without new calls after a refusal.
        draining_pause_s: the same after a draining upstream refused,
            until membership reports the drain.
        trip_failures: consecutive failures that trip the breaker.
        reopen_s: first pause of a tripped breaker; it doubles each time.
        slow_reopen_s: the same after a trip for slowness, where each probe
            costs a caller a slow answer.
        max_reopen_s: longest pause of a tripped breaker.
    """

    aperture: int = 16
    block_tokens: int = 64
    cache_blocks: int = 4096
    total_blocks: int = 65_536
    first_token_floor_s: float = 0.03
    prefill_s_per_token: float = 0.0001
    step_s: float = 0.01
    queue_target_s: float = 0.3
    token_gap_target_s: float = 0.045
    gap_price: float = 0.2
    move_latency_s: float = 0.01
    move_s_per_block: float = 0.0005
    remote_price_s: float = 0.005
    tie_margin_s: float = 0.02
    report_max_age_s: float = 10.0
    slow_start_s: float = 10.0
    slow_ratio: float = 4.0
    refused_pause_s: float = 0.1
    draining_pause_s: float = 5.0
    trip_failures: int = 3
    reopen_s: float = 1.0
    slow_reopen_s: float = 5.0
    max_reopen_s: float = 30.0


@attrs.frozen
class UpstreamView:
    """An upstream as reported by membership.

    Attributes:
        concurrency: most calls that the upstream runs at once.
    """

    id: str
    host: str = ''
    data_centre: str = ''
    kind: manifest.UpstreamKind = manifest.UpstreamKind.ENGINE
    role: manifest.Role = manifest.Role.BOTH
    offers: tuple[manifest.Offer, ...] = ()
    service: str | None = None
    concurrency: int = 32
    draining: bool = False
    alive: bool = True


@attrs.frozen
class RouteRequest:
    """A call that needs an upstream.

    Attributes:
        expected_tokens: output tokens that are expected.
        prefix_blocks: chained hashes of the prompt's full blocks.
        deadline: time in seconds after which the answer is useless.
        data_centre: data centre of the entry.
    """

    request_id: str
    workspace: str = ''
    model: str = ''
    version: str = '1'
    adapter: str | None = None
    service: str | None = None
    prompt_tokens: int = 0
    expected_tokens: int = 0
    prefix_blocks: tuple[int, ...] = ()
    deadline: float | None = None
    data_centre: str = ''
    priority: int = 0

    @property
    def pool(self) -> str:
        """Return the name of the pool that can serve the call."""
        return pool_name(self.model, self.version, self.service)


def pool_name(model: str, version: str, service: str | None) -> str:
    """Return the name of the pool of a model version or a service."""
    return service if service is not None else f'{model}@{version}'


@attrs.frozen
class Choice:
    """The upstream chosen for an attempt.

    Attributes:
        reason: why it was chosen, for logs.
        expected_first_token_s: predicted time to the first token.
        uncached_tokens: prompt tokens that must be prefilled.
        prefix_blocks: hashes of the blocks that the upstream caches once
            the prompt is prefilled.
        cached_blocks: number of blocks that it is assumed to cache now.
        move_from: upstream to import cached blocks from, if that is
            faster than to prefill them.
        move_blocks: number of blocks to import.
        prefill_on: upstream that prefills for one that only decodes.
    """

    upstream_id: str
    reason: str
    expected_first_token_s: float = 0.0
    uncached_tokens: int = 0
    prefix_blocks: tuple[int, ...] = ()
    cached_blocks: int = 0
    move_from: str | None = None
    move_blocks: int = 0
    prefill_on: str | None = None


@attrs.frozen
class Refusal:
    """No upstream can serve the call now."""

    code: errors.ErrorCode
    reason: str
    retry_after_s: float
    verdict: verdicts.Verdict = verdicts.Verdict.NOT_RUN


class Outcome(enum.Enum):
    """How an attempt ended, as far as routing is concerned.

    ``REFUSED`` means that the agent was full, ``DRAINING`` that it is
    draining.
    """

    OK = 'ok'
    REFUSED = 'refused'
    DRAINING = 'draining'
    FAILED = 'failed'
    TIMEOUT = 'timeout'
    CANCELLED = 'cancelled'


@attrs.frozen
class LoadReport:
    """The load of an upstream, as its agent measured it.

    Attributes:
        measured_at: when it was measured, on the clock of the entry.
        running: calls in progress, including waiting ones.
        pending_tokens: prompt tokens not yet prefilled.
        slots: calls that the agent allows this entry in progress; None
            if the agent grants no slots.
    """

    upstream_id: str
    measured_at: float
    running: int
    pending_tokens: int = 0
    slots: int | None = None


@attrs.frozen
class CacheEvent:
    """A change of the prefix cache of an engine.

    Attributes:
        epoch: increases each time that the engine starts.
        sequence: increases by one with each event of the epoch.
        stored: blocks that the cache now holds.
        evicted: blocks that it no longer holds.
        snapshot: ``stored`` is the complete content of the cache.
    """

    upstream_id: str
    epoch: int
    sequence: int
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()
    snapshot: bool = False


@attrs.frozen
class ResyncNeeded:
    """Cache events are missing: ask the engine for a snapshot."""

    upstream_id: str
