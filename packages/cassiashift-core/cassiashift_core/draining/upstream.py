"""The drain of an upstream, as its agent runs it."""

from typing import Any
from typing import Self

import attrs

from cassiashift_core import charts
from cassiashift_core.draining import machine
from cassiashift_core.draining import model


@attrs.define(slots=False)
class UpstreamDrain(machine.DrainMachine):
    """Refuses new calls at once and ends when none is in progress."""

    @classmethod
    def from_config(cls, cfg: Any = None) -> Self:
        """Return a serving upstream's drain."""
        drain = cls(cfg or model.DrainConfig())
        charts.load(__package__, 'upstream.toml', cls).bind(drain)
        return drain

    @property
    def accepts(self) -> bool:
        """Tell whether a call that arrives now is taken."""
        return self.state == 'serving'
