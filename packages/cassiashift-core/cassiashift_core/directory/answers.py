"""Selects the entries that the callers of a workspace use.

Entries are ranked for each workspace by rendezvous hashing, so a change of
one entry moves only the workspaces that used it. A workspace uses the
first entries of its ranking, and more of them as its demand grows.
Overloaded entries are skipped, which bounds the load of each; the threshold
has hysteresis so that workspaces do not oscillate.

Sources: Thaler and Ravishankar 1998 (rendezvous hashing); Mirrokni, Thorup
and Zadimoghaddam, "Consistent hashing with bounded loads", SODA 2018.
"""

from collections.abc import Iterable
import heapq
import itertools
import math
import random
from typing import Any
from typing import Self

import attrs

from cassiashift_core.directory import model
from cassiashift_core import hashing

ANY_DATA_CENTRE = ''


@attrs.define
class Directory:
    """The directory of one entry.

    Attributes:
        rng: source of the jitter of times to live.
    """

    cfg: model.DirectoryConfig
    rng: random.Random
    _entries: dict[str, model.EntryView] = attrs.field(
        factory=dict, init=False
    )
    _overloaded: set[str] = attrs.field(factory=set, init=False)
    _demands: dict[str, float] = attrs.field(factory=dict, init=False)
    _by_data_centre: dict[str, list[str]] = attrs.field(
        factory=dict, init=False
    )
    _rankings: dict[tuple[str, str], list[str]] = attrs.field(
        factory=dict, init=False
    )
    _latest_expiry: float = attrs.field(default=0.0, init=False)

    @classmethod
    def from_config(cls, cfg: Any, rng: random.Random) -> Self:
        """Return a directory without entries; ``cfg`` may be None."""
        return cls(cfg or model.DirectoryConfig(), rng)

    def update_entries(
        self, views: Iterable[model.EntryView], now: float
    ) -> None:
        """Replace the views of all entries and update which are overloaded."""
        views_by_id = {view.id: view for view in views}
        if self._data_centres(views_by_id) != self._data_centres(
            self._entries
        ):
            self._rankings.clear()
        self._entries = views_by_id
        self._by_data_centre = {ANY_DATA_CENTRE: sorted(views_by_id)}
        for name in sorted(views_by_id):
            data_centre = views_by_id[name].data_centre
            self._by_data_centre.setdefault(data_centre, [])
            if data_centre != ANY_DATA_CENTRE:
                self._by_data_centre[data_centre].append(name)
        self._overloaded &= set(views_by_id)
        for view in views_by_id.values():
            if view.load > self.cfg.overloaded_above:
                self._overloaded.add(view.id)
            elif view.load < self.cfg.recovered_below:
                self._overloaded.discard(view.id)

    def update_demand(self, workspace: str, entries_filled: float) -> None:
        """Set the demand of a workspace, in entries that it could fill."""
        if entries_filled <= self.cfg.workspace_share:
            self._demands.pop(workspace, None)
        else:
            self._demands[workspace] = entries_filled

    def answer(
        self, workspace: str, now: float, data_centre: str | None = None
    ) -> model.Answer:
        """Return the entries for a workspace.

        Entries of the caller's data centre are preferred while any of them
        is usable. The addresses are empty if no entry is usable at all.
        """
        chosen: list[str] = []
        if data_centre is not None:
            chosen = self._choose(workspace, data_centre)
        if not chosen:
            chosen = self._choose(workspace, ANY_DATA_CENTRE)
        ttl_s = self._ttl_s()
        self._latest_expiry = max(self._latest_expiry, now + ttl_s)
        return model.Answer(
            tuple(self._entries[name].address for name in chosen), ttl_s
        )

    def latest_expiry(self) -> float:
        """Return the time at which all answers so far have expired."""
        return self._latest_expiry

    def _choose(self, workspace: str, data_centre: str) -> list[str]:
        """Return the first usable entries of the ranking, not overloaded.

        If there are none, overloaded ones are returned. The ranking is
        extended to all candidates only if too few of the cached entries can
        be chosen.
        """
        count = self._address_count(workspace)
        ranking = self._ranking(workspace, data_centre)
        chosen = self._not_overloaded(ranking, count)
        candidates = self._candidates(data_centre)
        if len(chosen) == count or len(ranking) == len(candidates):
            return chosen or self._usable(ranking, count)
        ranking = self._rank(workspace, candidates, len(candidates))
        return self._not_overloaded(ranking, count) or self._usable(
            ranking, count
        )

    def _usable(self, ranking: list[str], count: int) -> list[str]:
        usable = (name for name in ranking if self._is_usable(name))
        return list(itertools.islice(usable, count))

    def _not_overloaded(self, ranking: list[str], count: int) -> list[str]:
        chosen = (
            name
            for name in ranking
            if self._is_usable(name) and name not in self._overloaded
        )
        return list(itertools.islice(chosen, count))

    def _is_usable(self, name: str) -> bool:
        view = self._entries[name]
        return view.alive and not view.draining

    def _ranking(self, workspace: str, data_centre: str) -> list[str]:
        key = (workspace, data_centre)
        ranking = self._rankings.get(key)
        if ranking is None:
            if len(self._rankings) >= self.cfg.max_cached:
                self._rankings.clear()
            candidates = self._candidates(data_centre)
            ranking = self._rank(workspace, candidates, self.cfg.kept_ranks)
            self._rankings[key] = ranking
        return ranking

    def _candidates(self, data_centre: str) -> list[str]:
        return self._by_data_centre.get(data_centre, [])

    @staticmethod
    def _rank(workspace: str, names: list[str], count: int) -> list[str]:
        return heapq.nlargest(
            count,
            names,
            key=lambda name: (hashing.stable_hash(workspace, name), name),
        )

    def _address_count(self, workspace: str) -> int:
        demand = self._demands.get(workspace, 0.0)
        wanted = math.ceil(demand / self.cfg.workspace_share)
        return min(self.cfg.max_addresses, max(self.cfg.addresses, wanted))

    def _ttl_s(self) -> float:
        jitter = self.rng.uniform(-1.0, 1.0) * self.cfg.ttl_jitter
        return self.cfg.ttl_s * (1 + jitter)

    @staticmethod
    def _data_centres(views: dict[str, model.EntryView]) -> dict[str, str]:
        return {name: view.data_centre for name, view in views.items()}
