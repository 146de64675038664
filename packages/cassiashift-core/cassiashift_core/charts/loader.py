"""Loads a state chart from TOML, checks it and binds it to a model.

A chart names its states, events, guards and entry actions. Guards and entry
actions are methods of the model class. A chart with an unreachable state, or
with a guard or action that the model class lacks, is refused.
"""

from importlib import resources
import tomllib
from typing import Any

import attrs
import msgspec
import transitions


class ChartError(ValueError):
    """A chart is malformed, inconsistent or does not fit its model class."""


@attrs.frozen
class StateSpec:
    """One state; ``entry`` names the methods called when it is entered."""

    name: str
    entry: tuple[str, ...] = ()


@attrs.frozen
class TransitionSpec:
    """One transition, taken if all of its guards return true."""

    event: str
    source: str
    target: str
    guards: tuple[str, ...] = ()


@attrs.frozen
class ChartSpec:
    """The decoded content of a chart file."""

    name: str
    initial: str
    states: tuple[StateSpec, ...]
    transitions: tuple[TransitionSpec, ...]


@attrs.frozen
class Chart:
    """A validated chart that can be bound to models."""

    spec: ChartSpec

    def bind(self, model: Any, initial: str | None = None) -> None:
        """Add a ``state`` attribute and a method per event to the model.

        The method of an event returns whether a transition was taken. An
        event without a transition from the current state is ignored.

        Args:
            model: an instance of the model class.
            initial: the state to start in, by default the chart's.
        """
        transitions.Machine(
            model=model,
            states=[
                {'name': state.name, 'on_enter': list(state.entry)}
                for state in self.spec.states
            ],
            transitions=[
                {
                    'trigger': transition.event,
                    'source': transition.source,
                    'dest': transition.target,
                    'conditions': list(transition.guards),
                }
                for transition in self.spec.transitions
            ],
            initial=initial or self.spec.initial,
            auto_transitions=False,
            ignore_invalid_triggers=True,
        )


def parse(text: str, model_class: type) -> Chart:
    """Return the validated chart in ``text`` for a model class.

    Raises:
        ChartError: the chart is malformed, has an unreachable state, or
            names a guard or action that the class does not have.
    """
    try:
        spec = msgspec.convert(tomllib.loads(text), ChartSpec)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as exc:
        raise ChartError(str(exc)) from exc
    _check_states(spec)
    _check_methods(spec, model_class)
    return Chart(spec)


def load(package: str, file_name: str, model_class: type) -> Chart:
    """Return the validated chart in a package's data file.

    Raises:
        ChartError: as for ``parse``.
    """
    text = resources.files(package).joinpath(file_name).read_text('utf-8')
    return parse(text, model_class)


def _check_states(spec: ChartSpec) -> None:
    names = [state.name for state in spec.states]
    if len(set(names)) != len(names):
        raise ChartError(f'{spec.name}: two states have the same name')
    referenced = {spec.initial}
    referenced.update(transition.source for transition in spec.transitions)
    referenced.update(transition.target for transition in spec.transitions)
    unknown = sorted(referenced - set(names))
    if unknown:
        raise ChartError(f'{spec.name}: unknown state {unknown[0]}')
    unreachable = sorted(set(names) - _reachable(spec))
    if unreachable:
        raise ChartError(f'{spec.name}: unreachable state {unreachable[0]}')


def _reachable(spec: ChartSpec) -> set[str]:
    reached = {spec.initial}
    pending = [spec.initial]
    while pending:
        source = pending.pop()
        for transition in spec.transitions:
            if (
                transition.source == source
                and transition.target not in reached
            ):
                reached.add(transition.target)
                pending.append(transition.target)
    return reached


def _check_methods(spec: ChartSpec, model_class: type) -> None:
    methods = {name for state in spec.states for name in state.entry}
    methods.update(
        name for transition in spec.transitions for name in transition.guards
    )
    for name in sorted(methods):
        if not callable(getattr(model_class, name, None)):
            raise ChartError(f'{spec.name}: unknown action or guard {name}')
