"""The drain of an entry.

Callers cache a directory's answer for its time to live, so the entry
continues to serve until every answer that named it has expired.
"""

from typing import Any
from typing import Self

import attrs

from cassiashift_core import charts
from cassiashift_core.draining import machine
from cassiashift_core.draining import model


@attrs.define(slots=False)
class EntryDrain(machine.DrainMachine):
    """Leaves the directories, then serves until their answers expire."""

    _last_expiry: float = attrs.field(default=0.0, init=False)

    @classmethod
    def from_config(cls, cfg: Any = None) -> Self:
        """Return the drain of an entry, in the state ``serving``."""
        drain = cls(cfg or model.DrainConfig())
        charts.load(__package__, 'entry.toml', cls).bind(drain)
        return drain

    @property
    def accepts_calls(self) -> bool:
        """Whether a call that arrives now is accepted."""
        return self.state in ('serving', 'leaving')

    def record_directory_answer(self, expiry: float) -> None:
        """Record when a directory answer that names this entry expires.

        ``expiry`` is in seconds.
        """
        self._last_expiry = max(self._last_expiry, expiry)

    def leave_directory(self) -> None:
        """Request removal from every directory.

        A directory may name the entry until the request reaches it, so
        answers of the next ``directory_margin_s`` still have to expire.
        """
        super().leave_directory()
        last_answer = self._now + self.cfg.directory_margin_s
        self.record_directory_answer(last_answer + self.cfg.max_ttl_s)

    def answers_expired(self) -> bool:
        """Return whether every answer that named this entry has expired."""
        return self._now > self._last_expiry
