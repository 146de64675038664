"""Answers callers with the entries of their workspace.

Entries are ranked for each workspace by rendezvous hashing, so a change of
one entry moves only the workspaces that used it. A workspace uses the
first entries of its ranking, more of them as its demand grows. Overloaded
entries are passed over, which bounds the load of each; the threshold has
hysteresis so that workspaces do not swing. Sources: Thaler and Ravishankar
1998 (rendezvous hashing); Mirrokni, Thorup and Zadimoghaddam, "Consistent
hashing with bounded loads", SODA 2018.
"""

from collections.abc import Iterable
import heapq
import math
import random
from typing import Any
from typing import Self

import attrs

from cassiashift_core.directory import model
from cassiashift_core import hashing


@attrs.define
class Directory:
    """The directory as one entry answers it."""

    cfg: model.DirectoryConfig
    rng: random.Random
    _entries: dict[str, model.EntryView] = attrs.field(
        factory=dict, init=False
    )
    _overloaded: set[str] = attrs.field(factory=set, init=False)
    _demands: dict[str, float] = attrs.field(factory=dict, init=False)
    _rankings: dict[str, list[str]] = attrs.field(factory=dict, init=False)
    _longest_expiry: float = attrs.field(default=0.0, init=False)

    @classmethod
    def from_config(cls, cfg: Any, rng: random.Random) -> Self:
        """Return a directory without entries."""
        return cls(cfg or model.DirectoryConfig(), rng)

    def update_entries(
        self, views: Iterable[model.EntryView], now: float
    ) -> None:
        """Replace what is known of all entries."""
        known = {view.id: view for view in views}
        if self._names(known) != self._names(self._entries):
            self._rankings.clear()
        self._entries = known
        self._overloaded &= set(known)
        for view in known.values():
            if view.load > self.cfg.overloaded_above:
                self._overloaded.add(view.id)
            elif view.load < self.cfg.recovered_below:
                self._overloaded.discard(view.id)

    def update_demand(self, workspace: str, entries_filled: float) -> None:
        """Set the size of a workspace, in entries that it could fill."""
        if entries_filled <= self.cfg.workspace_share:
            self._demands.pop(workspace, None)
        else:
            self._demands[workspace] = entries_filled

    def answer(
        self, workspace: str, now: float, data_centre: str | None = None
    ) -> model.Answer:
        """Return the entries for a workspace.

        Entries of the caller's data centre are preferred while it has any
        that can be used. The addresses are empty when no entry is alive.
        """
        usable = self._usable(workspace)
        local = [
            name
            for name in usable
            if self._entries[name].data_centre == data_centre
        ]
        chosen = (local or usable)[: self._width(workspace)]
        ttl_s = self._ttl_s()
        self._longest_expiry = max(self._longest_expiry, now + ttl_s)
        return model.Answer(
            tuple(self._entries[name].address for name in chosen), ttl_s
        )

    def longest_expiry(self) -> float:
        """Return the time at which the last answer given expires."""
        return self._longest_expiry

    def _usable(self, workspace: str) -> list[str]:
        """Return the ranked entries, without those to be avoided."""
        ranking = self._ranking(workspace)
        live = [
            name
            for name in ranking
            if self._entries[name].alive and not self._entries[name].draining
        ]
        calm = [name for name in live if name not in self._overloaded]
        return calm or live

    def _ranking(self, workspace: str) -> list[str]:
        ranking = self._rankings.get(workspace)
        if ranking is None:
            if len(self._rankings) >= self.cfg.max_cached:
                self._rankings.clear()
            ranking = self._rank(workspace)
            self._rankings[workspace] = ranking
        return ranking

    def _rank(self, workspace: str) -> list[str]:
        return heapq.nlargest(
            len(self._entries),
            self._entries,
            key=lambda name: (hashing.stable_hash(workspace, name), name),
        )

    def _width(self, workspace: str) -> int:
        demand = self._demands.get(workspace, 0.0)
        wanted = math.ceil(demand / self.cfg.workspace_share)
        return min(self.cfg.max_addresses, max(self.cfg.addresses, wanted))

    def _ttl_s(self) -> float:
        spread = self.rng.uniform(-1.0, 1.0) * self.cfg.ttl_jitter
        return self.cfg.ttl_s * (1 + spread)

    @staticmethod
    def _names(views: dict[str, model.EntryView]) -> set[str]:
        return set(views)
