"""Loads a state chart from TOML, checks it and binds it to a model.

A chart names its states, events, guards and entry actions. Guards and
actions are methods of the model class. The loader refuses a chart with an
unreachable state or a name that the model class does not have.
"""

from importlib import resources
import tomllib
from typing import Any

import attrs
import msgspec
import transitions


class ChartError(ValueError):
    """A chart file that must not be used."""


@attrs.frozen
class StateSpec:
    """One state; ``entry`` names the actions run when it is entered."""

    name: str
    entry: tuple[str, ...] = ()


@attrs.frozen
class TransitionSpec:
    """One transition, taken when all of its guards hold."""

    event: str
    source: str
    target: str
    guards: tuple[str, ...] = ()


@attrs.frozen
class ChartSpec:
    """The content of a chart file."""

    name: str
    initial: str
    states: tuple[StateSpec, ...]
    transitions: tuple[TransitionSpec, ...]


@attrs.frozen
class Chart:
    """A checked chart that models can be bound to."""

    spec: ChartSpec

    def bind(self, model: Any, initial: str | None = None) -> None:
        """Give the model a ``state`` and one method for each event.

        The method of an event returns whether a transition was taken; an
        event that the current state does not know changes nothing.
        """
        transitions.Machine(
            model=model,
            states=[
                {'name': state.name, 'on_enter': list(state.entry)}
                for state in self.spec.states
            ],
            transitions=[
                {
                    'trigger': move.event,
                    'source': move.source,
                    'dest': move.target,
                    'conditions': list(move.guards),
                }
                for move in self.spec.transitions
            ],
            initial=initial or self.spec.initial,
            auto_transitions=False,
            ignore_invalid_triggers=True,
        )


def parse(text: str, model_class: type) -> Chart:
    """Return the checked chart in ``text`` for models of a class.

    Raises:
        ChartError: the chart is malformed, has an unreachable state, or
            names a guard or action that the class does not have.
    """
    try:
        spec = msgspec.convert(tomllib.loads(text), ChartSpec)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as exc:
        raise ChartError(str(exc)) from exc
    _check_states(spec)
    _check_names(spec, model_class)
    return Chart(spec)


def load(package: str, file_name: str, model_class: type) -> Chart:
    """Return the checked chart kept in a package's data file."""
    text = resources.files(package).joinpath(file_name).read_text('utf-8')
    return parse(text, model_class)


def _check_states(spec: ChartSpec) -> None:
    names = [state.name for state in spec.states]
    if len(set(names)) != len(names):
        raise ChartError(f'{spec.name}: a state is named twice')
    used = {spec.initial}
    used.update(move.source for move in spec.transitions)
    used.update(move.target for move in spec.transitions)
    unknown = sorted(used - set(names))
    if unknown:
        raise ChartError(f'{spec.name}: unknown state {unknown[0]}')
    unreachable = sorted(set(names) - _reachable(spec))
    if unreachable:
        raise ChartError(f'{spec.name}: unreachable state {unreachable[0]}')


def _reachable(spec: ChartSpec) -> set[str]:
    found = {spec.initial}
    waiting = [spec.initial]
    while waiting:
        source = waiting.pop()
        for move in spec.transitions:
            if move.source == source and move.target not in found:
                found.add(move.target)
                waiting.append(move.target)
    return found


def _check_names(spec: ChartSpec, model_class: type) -> None:
    wanted = {name for state in spec.states for name in state.entry}
    wanted.update(name for move in spec.transitions for name in move.guards)
    for name in sorted(wanted):
        if not callable(getattr(model_class, name, None)):
            raise ChartError(f'{spec.name}: unknown action or guard {name}')
