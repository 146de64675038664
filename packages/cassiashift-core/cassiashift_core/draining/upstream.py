"""The drain of an upstream, run by its agent."""

from typing import Any
from typing import Self

import attrs

from cassiashift_core import charts
from cassiashift_core.draining import machine
from cassiashift_core.draining import model


@attrs.define(slots=False)
class UpstreamDrain(machine.DrainMachine):
    """Refuses new calls at once; ends after ``quiet_s`` without calls."""

    @classmethod
    def from_config(cls, cfg: Any = None) -> Self:
        """Return the drain of an upstream, in the state ``serving``."""
        drain = cls(cfg or model.DrainConfig())
        charts.load(__package__, 'upstream.toml', cls).bind(drain)
        return drain

    @property
    def accepts_calls(self) -> bool:
        """Whether a call that arrives now is accepted."""
        return self.state == 'serving'
