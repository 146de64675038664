"""Configuration and results of the overload experiment.

Calls of three priorities go to a lock-step group, as in deployment A of
docs/design/uneven-load.md with a quarter of its ranks and two fifths of its
load.
"""

import attrs

from cassiashift_core.experiment import model

# A pass of deployment A, five token steps: one "token" of the engine is the
# event that a pass gives each stream.
GROUP = model.EngineConfig(
    step_s=5 * 0.00455,
    decode_s=5 * 0.00109,
    prefill_s=1 / 61_400,
    batch=5,
    concurrency=10,
    chunk_tokens=1024,
    cache_blocks=0,
    progress_tokens=1,
)


@attrs.frozen
class OverloadShape:
    """A load on the group.

    Attributes:
        factors: multiples of the rates by priority during a burst.
        drift: relative amplitude of the rates of the data centres.
        is_long_tailed: prompt lengths have a long tail.
        slow: number of ranks that become slow during the disturbance.
        lost: number of ranks that are lost at its begin.
    """

    name: str
    factors: tuple[float, float, float] = (1.0, 1.0, 1.0)
    drift: float = 0.0
    is_long_tailed: bool = False
    slow: int = 0
    lost: int = 0


SHAPES = (
    OverloadShape('steady'),
    OverloadShape('class-burst', factors=(2.0, 1.0, 2.5)),
    OverloadShape('slow-fifth', slow=3),
    OverloadShape('drift', factors=(1.25, 1.25, 1.25), drift=0.55),
    OverloadShape('long-tail', is_long_tailed=True),
    OverloadShape('third-lost', lost=5),
)


@attrs.frozen
class OverloadConfig:
    """Size, duration and objectives of the experiment.

    Attributes:
        ranks: engines of the group.
        rates: calls per second by priority.
        disturbed_from_s: begin of the burst or fault.
        disturbed_until_s: its end.
        first_event_s: objective for the time to the first event.
        pause_s: objective for the longest pause.
        deadline_s: a later end of a call is of no use.
        abandon_s: callers abandon a call without an event after this.
        late_value: value of a late answer, as a fraction.
    """

    ranks: int = 16
    entries: int = 6
    workspaces: int = 10
    rates: tuple[float, float, float] = (16.0, 21.0, 7.0)
    duration_s: float = 24.0
    warm_up_s: float = 4.0
    disturbed_from_s: float = 8.0
    disturbed_until_s: float = 18.0
    first_event_s: float = 0.506
    pause_s: float = 0.15
    deadline_s: float = 8.0
    abandon_s: float = 2.0
    late_value: float = 0.35


@attrs.define(eq=False)
class OverloadCall(model.Call):
    """A call with a priority, at one of the entries."""

    priority: int = 0
    entry: int = 0


@attrs.define(eq=False)
class CallState:
    """The progress of a call.

    Attributes:
        arrived_at: newest arrival; a refused call returns once.
        queued_s: time that it waited at the entry.
        refused: number of refusals.
        returned: it came back after a refusal.
        is_promised: capacity was kept for its return.
        is_known: the entry that it came back to knew that it was refused.
        started_after_return: there was capacity for it then.
        ended_at: time of the last event; None without a complete answer.
    """

    call: OverloadCall
    arrived_at: float
    queued_s: float = 0.0
    refused: int = 0
    returned: bool = False
    is_promised: bool = False
    is_known: bool = False
    started_after_return: bool = False
    sends: int = 0
    first_at: float | None = None
    newest_at: float = 0.0
    longest_pause_s: float = 0.0
    ended_at: float | None = None


@attrs.frozen
class OverloadCell:
    """Measures of a policy under a load, over all seeds.

    Shares are of the calls that arrived after the warm-up.

    Attributes:
        on_time: share on time, by priority.
        value: share of the value, with late answers, by priority.
        disturbed: share on time of the calls that arrived during the
            disturbance.
        after: the same from two seconds after it.
        worst_workspace: lowest share on time of a workspace.
        largest: share on time of the tenth with the longest prompts.
        wait_ms: mean wait at the entries of started calls, by priority.
        refused: share of calls that were refused at least once.
        returns_placed: share of the returning callers that found capacity.
        promised: share of the returning callers for which capacity was kept.
        promises_kept: share of these that found it.
    """

    shape: str
    policy: str
    on_time: tuple[float, float, float]
    value: tuple[float, float, float]
    all_on_time: float
    disturbed: float
    after: float
    worst_workspace: float
    largest: float
    wait_ms: tuple[float, float, float]
    refused: float
    returns_placed: float
    promised: float
    promises_kept: float
