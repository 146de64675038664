"""Plans orders to load model versions and to change roles with demand.

The planner compares the demand of each model version with the capacity of
the upstreams that serve it. It plans an order only for a shortage that has
lasted, only for an upstream that its own pool can spare, and only as fast as
the weight store can deliver. A pool is short while its utilisation is above
``short_above``; it can spare an upstream if its utilisation without it stays
below ``spare_below``. The gap between the two, and a cooldown of each
upstream after an order, prevent oscillation.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math
from typing import Any
from typing import Self

import attrs

from cassiashift_core import manifest

Role = manifest.Role


@attrs.frozen
class PlacementConfig:
    """Settings of the planner.

    Attributes:
        short_above: utilisation above which a pool needs upstreams.
        spare_below: utilisation that a pool must stay below after it has
            given one up.
        hold_s: time that a shortage must last before an order is planned.
        cooldown_s: shortest time between two orders for one upstream.
        store_bytes_per_s: rate of the weight store.
        store_burst_bytes: bytes that may be loaded from it at once.
        smoothing_s: averaging time of the demand.
    """

    short_above: float = 0.85
    spare_below: float = 0.6
    hold_s: float = 20.0
    cooldown_s: float = 120.0
    store_bytes_per_s: float = 1e9
    store_burst_bytes: float = 2e11
    smoothing_s: float = 30.0


@attrs.frozen
class PoolKey:
    """A pool: a model version and the role of its upstreams."""

    model: str
    version: str = '1'
    role: Role = Role.BOTH


@attrs.frozen
class PlacedUpstream:
    """An upstream and the pool that it serves now.

    Attributes:
        may_load: model versions that the manifest allows on it.
        rate: its capacity, in the unit of the demand.
    """

    upstream_id: str
    key: PoolKey
    may_load: tuple[tuple[str, str], ...] = ()
    rate: float = 1.0
    usable: bool = True


@attrs.frozen
class LoadOrder:
    """Load a model version in place of the one served now.

    The upstream is drained first, so that no call in progress is cut off.
    """

    upstream_id: str
    model: str
    version: str
    role: Role
    weight_bytes: int


@attrs.frozen
class RoleOrder:
    """Change the role of an upstream, which keeps its weights."""

    upstream_id: str
    role: Role


Order = LoadOrder | RoleOrder


@attrs.define
class PlacementPlanner:
    """Decides which upstreams load or change role as demand shifts."""

    cfg: PlacementConfig
    _demand: dict[PoolKey, float] = attrs.field(factory=dict, init=False)
    _short_since: dict[PoolKey, float] = attrs.field(factory=dict, init=False)
    _ordered_at: dict[str, float] = attrs.field(factory=dict, init=False)
    _updated_at: float | None = attrs.field(default=None, init=False)
    _store_budget_bytes: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start with the full burst of the weight store."""
        self._store_budget_bytes = self.cfg.store_burst_bytes

    @classmethod
    def from_config(cls, cfg: Any = None) -> Self:
        """Return a planner without demand."""
        return cls(cfg or PlacementConfig())

    def plan(
        self,
        demand: Mapping[PoolKey, float],
        placed: Iterable[PlacedUpstream],
        weight_bytes: Mapping[tuple[str, str], int],
        now: float,
    ) -> list[Order]:
        """Return the orders to send now, at most one for each pool.

        Args:
            demand: work per second requested from each pool.
            placed: what each upstream serves, counting orders in progress
                as done.
            weight_bytes: size of the weights of each model version.
            now: time in seconds.
        """
        self._update_demand(demand, now)
        usable = [item for item in placed if item.usable]
        orders = []
        for key in self._short_pools(usable, now):
            order = self._make_order(key, usable, weight_bytes, now)
            if order is None:
                continue
            orders.append(order)
            self._ordered_at[order.upstream_id] = now
            self._short_since.pop(key, None)
            usable = [
                item
                for item in usable
                if item.upstream_id != order.upstream_id
            ]
        return orders

    def _update_demand(
        self, demand: Mapping[PoolKey, float], now: float
    ) -> None:
        """Smooth the demand, refill the store budget and end cooldowns."""
        cfg = self.cfg
        is_first = self._updated_at is None
        elapsed = 0.0 if is_first else now - (self._updated_at or 0.0)
        self._updated_at = now
        refill = elapsed * cfg.store_bytes_per_s
        self._store_budget_bytes = min(
            cfg.store_burst_bytes, self._store_budget_bytes + refill
        )
        share = 1.0 if is_first else 1 - math.exp(-elapsed / cfg.smoothing_s)
        for key in set(demand) | set(self._demand):
            previous = self._demand.get(key, 0.0)
            value = previous + share * (demand.get(key, 0.0) - previous)
            self._demand[key] = value
        for upstream_id, ordered_at in list(self._ordered_at.items()):
            if now - ordered_at > cfg.cooldown_s:
                del self._ordered_at[upstream_id]

    def _utilisation(
        self, key: PoolKey, placed: list[PlacedUpstream], removed_rate: float
    ) -> float:
        """Return demand over rate with ``removed_rate`` less of the rate."""
        rate = (
            sum(item.rate for item in placed if item.key == key) - removed_rate
        )
        demand = self._demand.get(key, 0.0)
        if demand <= 0:
            return 0.0
        return demand / rate if rate > 0 else math.inf

    def _short_pools(
        self, placed: list[PlacedUpstream], now: float
    ) -> list[PoolKey]:
        """Return pools short for at least ``hold_s``, the worst first."""
        utilisations = {
            key: self._utilisation(key, placed, 0.0) for key in self._demand
        }
        for key, utilisation in utilisations.items():
            if utilisation <= self.cfg.short_above:
                self._short_since.pop(key, None)
            else:
                self._short_since.setdefault(key, now)
        lasting_shortages = [
            key
            for key, since in self._short_since.items()
            if now - since >= self.cfg.hold_s
        ]
        return sorted(
            lasting_shortages, key=lambda key: (-utilisations[key], str(key))
        )

    def _make_order(
        self,
        key: PoolKey,
        placed: list[PlacedUpstream],
        weight_bytes: Mapping[tuple[str, str], int],
        now: float,
    ) -> Order | None:
        donors = [
            item
            for item in placed
            if item.key != key
            and item.upstream_id not in self._ordered_at
            and self._utilisation(item.key, placed, item.rate)
            < self.cfg.spare_below
        ]
        same_model = [item for item in donors if _same_weights(item.key, key)]
        if same_model:
            donor = self._least_needed(same_model, placed)
            return RoleOrder(donor.upstream_id, key.role)
        wanted = (key.model, key.version)
        loadable = [item for item in donors if wanted in item.may_load]
        size = weight_bytes.get(wanted, 0)
        if not loadable or size > self._store_budget_bytes:
            return None
        self._store_budget_bytes -= size
        donor = self._least_needed(loadable, placed)
        return LoadOrder(donor.upstream_id, *wanted, key.role, size)

    def _least_needed(
        self, donors: list[PlacedUpstream], placed: list[PlacedUpstream]
    ) -> PlacedUpstream:
        """Return the donor whose pool is least utilised without it."""
        return min(
            donors,
            key=lambda item: (
                self._utilisation(item.key, placed, item.rate),
                item.upstream_id,
            ),
        )


def _same_weights(first: PoolKey, second: PoolKey) -> bool:
    return (first.model, first.version) == (second.model, second.version)
