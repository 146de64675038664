"""Problems of a manifest, each with the path of the value concerned."""

from collections.abc import Iterable

import attrs

PathStep = str | int


@attrs.frozen(order=True)
class Problem:
    """One problem; an empty ``path`` means the whole manifest."""

    path: str
    message: str

    def __str__(self) -> str:
        """Return path and message on one line."""
        return f'{self.path}: {self.message}' if self.path else self.message


def format_path(steps: Iterable[PathStep]) -> str:
    """Return a path as text, such as ``groups[0].ranks[3]``."""
    text = ''
    for step in steps:
        if isinstance(step, int):
            text += f'[{step}]'
        else:
            text += f'.{step}' if text else str(step)
    return text
