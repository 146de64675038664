"""Selects the map that a step runs on."""

import attrs

from cassiashift_core.mapswitch import messages


@attrs.frozen
class Proceed:
    """The rank may start the step, and runs it on this version."""

    version: int


@attrs.frozen
class Hold:
    """The rank must not start the step yet."""

    reason: str


def entry_for(
    standing: messages.Standing, step: int
) -> messages.MapEntry | None:
    """Return the map of a step, ``None`` if no known map covers it."""
    for entry in (standing.current, standing.former):
        if entry is not None and step >= entry.step:
            return entry
    return None


def first_step(standing: messages.Standing) -> int | None:
    """Return the first step of the current map, ``None`` without one."""
    return standing.current and standing.current.step


def with_bodies(
    standing: messages.Standing,
    previous: messages.Standing,
    staged: messages.Stage | None,
) -> messages.Standing:
    """Return a standing with its bodies filled in.

    They come from the previous standing and from the stage order; the body
    of any other map stays empty.
    """
    bodies = {
        entry.version: entry.body
        for entry in (previous.former, previous.current)
        if entry is not None
    }
    if staged is not None:
        bodies[staged.version] = staged.body
    return attrs.evolve(
        standing,
        current=_with_body(standing.current, bodies),
        former=_with_body(standing.former, bodies),
    )


def _with_body(
    entry: messages.MapEntry | None, bodies: dict[int, bytes]
) -> messages.MapEntry | None:
    if entry is None or entry.body:
        return entry
    return attrs.evolve(entry, body=bodies.get(entry.version, b''))
