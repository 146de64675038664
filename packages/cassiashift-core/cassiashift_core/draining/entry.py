"""The drain of an entry.

Callers keep a directory's answer for its time to live, so the entry goes
on serving until every answer that named it has expired.
"""

from typing import Any
from typing import Self

import attrs

from cassiashift_core import charts
from cassiashift_core.draining import machine
from cassiashift_core.draining import model


@attrs.define(slots=False)
class EntryDrain(machine.DrainMachine):
    """Leaves the directory, serves old answers, then finishes."""

    _expiry: float = attrs.field(default=0.0, init=False)

    @classmethod
    def from_config(cls, cfg: Any = None) -> Self:
        """Return a serving entry's drain."""
        drain = cls(cfg or model.DrainConfig())
        charts.load(__package__, 'entry.toml', cls).bind(drain)
        return drain

    @property
    def accepts(self) -> bool:
        """Tell whether a call that arrives now is taken."""
        return self.state in ('serving', 'leaving')

    def answer_given(self, expiry: float) -> None:
        """Record the expiry of an answer that named this entry."""
        self._expiry = max(self._expiry, expiry)

    def leave_directory(self) -> None:
        """Ask for the news to every directory; wait for all answers.

        Other directories may name the entry until the news reaches them.
        """
        super().leave_directory()
        last_answer = self._now + self.cfg.directory_margin_s
        self.answer_given(last_answer + self.cfg.max_ttl_s)

    def answers_expired(self) -> bool:
        """Tell whether no caller can hold an answer naming this entry."""
        return self._now > self._expiry
