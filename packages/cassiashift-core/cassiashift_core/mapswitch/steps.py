"""Which map a step runs on, by what the log has decided."""

import attrs

from cassiashift_core.mapswitch import messages


@attrs.frozen
class Proceed:
    """The rank may start the step on a version."""

    version: int


@attrs.frozen
class Hold:
    """The rank must not start the step yet."""

    reason: str


def entry_for(
    standing: messages.Standing, step: int
) -> messages.MapEntry | None:
    """Return the map of a step, or none if it is not known."""
    for entry in (standing.current, standing.former):
        if entry is not None and step >= entry.step:
            return entry
    return None


def first_step(standing: messages.Standing) -> int | None:
    """Return the first step of the map committed last."""
    return standing.current and standing.current.step


def with_bodies(
    standing: messages.Standing,
    before: messages.Standing,
    staged: messages.Stage | None,
) -> messages.Standing:
    """Return a standing, with the bodies that were received before."""
    known = {
        entry.version: entry.body
        for entry in (before.former, before.current)
        if entry is not None
    }
    if staged is not None:
        known[staged.version] = staged.body
    return attrs.evolve(
        standing,
        current=_with_body(standing.current, known),
        former=_with_body(standing.former, known),
    )


def _with_body(
    entry: messages.MapEntry | None, known: dict[int, bytes]
) -> messages.MapEntry | None:
    if entry is None or entry.body:
        return entry
    return attrs.evolve(entry, body=known.get(entry.version, b''))
