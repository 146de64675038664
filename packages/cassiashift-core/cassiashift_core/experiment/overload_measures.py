"""Computes the measures of the overload experiment."""

from collections.abc import Callable
import statistics

from cassiashift_core.experiment import overload_model

State = overload_model.CallState
LARGEST_SHARE = 0.1
# Callers are to be on time again this long after the disturbance.
RECOVERY_S = 2.0


def measure(
    cfg: overload_model.OverloadConfig,
    shape: str,
    policy: str,
    states: list[State],
) -> overload_model.OverloadCell:
    """Return the measures over the calls that arrived after the warm-up."""
    states = [
        state for state in states if state.call.arrives_at >= cfg.warm_up_s
    ]

    def on_time(keep: Callable[[State], bool]) -> float:
        kept = [is_on_time(cfg, state) for state in states if keep(state)]
        return round(statistics.fmean(kept), 3) if kept else 0.0

    def by_priority(
        amount: Callable[[State], float | None],
    ) -> tuple[float, ...]:
        means = []
        for priority in range(len(cfg.rates)):
            amounts = [
                amount(state)
                for state in states
                if state.call.priority == priority
            ]
            found = [one for one in amounts if one is not None]
            means.append(round(statistics.fmean(found), 3) if found else 0.0)
        return tuple(means)

    prompts = sorted(state.call.prompt_tokens for state in states)
    large = prompts[int(len(prompts) * (1 - LARGEST_SHARE))]
    end = cfg.disturbed_until_s
    names = {state.call.workspace for state in states}
    workspaces = [
        on_time(lambda state, name=name: state.call.workspace == name)
        for name in sorted(names)
    ]
    returned = [state for state in states if state.returned]
    promised = [state for state in returned if state.is_promised]
    return overload_model.OverloadCell(
        shape=shape,
        policy=policy,
        on_time=by_priority(lambda state: is_on_time(cfg, state)),
        value=by_priority(lambda state: _value(cfg, state)),
        all_on_time=on_time(lambda state: True),
        disturbed=on_time(
            lambda state: cfg.disturbed_from_s <= state.call.arrives_at < end
        ),
        after=on_time(lambda state: state.call.arrives_at >= end + RECOVERY_S),
        worst_workspace=min(workspaces),
        largest=on_time(lambda state: state.call.prompt_tokens >= large),
        wait_ms=by_priority(
            lambda state: 1000 * state.queued_s if state.sends else None
        ),
        refused=round(
            statistics.fmean(state.refused > 0 for state in states), 3
        ),
        returns_placed=_share_placed(returned),
        promised=round(len(promised) / len(returned), 3) if returned else 0.0,
        promises_kept=_share_placed(promised),
    )


def is_on_time(cfg: overload_model.OverloadConfig, state: State) -> bool:
    """Return whether a call met both objectives and its deadline."""
    if state.ended_at is None or state.first_at is None:
        return False
    return (
        state.first_at - state.arrived_at <= cfg.first_event_s
        and state.longest_pause_s <= cfg.pause_s
        and state.ended_at - state.call.arrives_at <= cfg.deadline_s
    )


def _share_placed(returned: list[State]) -> float:
    if not returned:
        return 0.0
    placed = [state.started_after_return for state in returned]
    return round(statistics.fmean(placed), 3)


def _value(cfg: overload_model.OverloadConfig, state: State) -> float:
    if is_on_time(cfg, state):
        return 1.0
    return 0.0 if state.ended_at is None else cfg.late_value
