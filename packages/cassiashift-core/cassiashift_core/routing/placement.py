"""Orders to load model versions and to change roles, as demand moves.

The planner compares, for each model version, the demand with what the
upstreams that serve it can do. An order is given only where a shortage has
lasted, only to an upstream that its own pool can spare, and only as fast as
the weight store delivers. A pool spares an upstream while it stays below
``spare_below`` without it; a pool is short above ``short_above``. The gap
between the two, and a rest for each upstream after an order, keep the
planner from swinging.
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
        short_above: use of a pool above which it needs upstreams.
        spare_below: use that a pool may have after it gave one.
        hold_s: time that a shortage lasts before an order is given.
        rest_s: time in which an upstream gets no second order.
        store_bytes_per_s: rate of the weight store.
        store_burst_bytes: bytes that may be asked of it at once.
        smoothing_s: averaging time of the demand.
    """

    short_above: float = 0.85
    spare_below: float = 0.6
    hold_s: float = 20.0
    rest_s: float = 120.0
    store_bytes_per_s: float = 1e9
    store_burst_bytes: float = 2e11
    smoothing_s: float = 30.0


@attrs.frozen
class PoolKey:
    """A model version and the phase that is wanted of it."""

    model: str
    version: str = '1'
    role: Role = Role.BOTH


@attrs.frozen
class Placed:
    """What one upstream serves now.

    Attributes:
        may_load: model versions that the manifest lets it serve.
        rate: work a second that it can do, in the unit of the demand.
    """

    upstream_id: str
    key: PoolKey
    may_load: tuple[tuple[str, str], ...] = ()
    rate: float = 1.0
    usable: bool = True


@attrs.frozen
class LoadOrder:
    """Load a model version in place of the one that is served.

    The upstream is drained first, so that no call in progress is cut off.
    """

    upstream_id: str
    model: str
    version: str
    role: Role
    weight_bytes: int


@attrs.frozen
class RoleOrder:
    """Change the role and keep the weights."""

    upstream_id: str
    role: Role


Order = LoadOrder | RoleOrder


@attrs.define
class PlacementPlanner:
    """Gives orders that follow demand."""

    cfg: PlacementConfig
    _demand: dict[PoolKey, float] = attrs.field(factory=dict, init=False)
    _short_since: dict[PoolKey, float] = attrs.field(factory=dict, init=False)
    _ordered_at: dict[str, float] = attrs.field(factory=dict, init=False)
    _updated_at: float | None = attrs.field(default=None, init=False)
    _store_bytes: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start with an unused weight store."""
        self._store_bytes = self.cfg.store_burst_bytes

    @classmethod
    def from_config(cls, cfg: Any = None) -> Self:
        """Return a planner that knows no demand."""
        return cls(cfg or PlacementConfig())

    def plan(
        self,
        demand: Mapping[PoolKey, float],
        placed: Iterable[Placed],
        weight_bytes: Mapping[tuple[str, str], int],
        now: float,
    ) -> list[Order]:
        """Return the orders to give now, at most one for each pool.

        Args:
            demand: work a second that each pool is asked for.
            placed: what each upstream serves, orders in progress included.
            weight_bytes: size of the weights of each model version.
            now: time in seconds.
        """
        self._learn(demand, now)
        usable = [item for item in placed if item.usable]
        orders = []
        for key in self._short_pools(usable, now):
            order = self._order_for(key, usable, weight_bytes, now)
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

    def _learn(self, demand: Mapping[PoolKey, float], now: float) -> None:
        cfg = self.cfg
        first = self._updated_at is None
        elapsed = 0.0 if first else now - (self._updated_at or 0.0)
        self._updated_at = now
        refill = elapsed * cfg.store_bytes_per_s
        self._store_bytes = min(
            cfg.store_burst_bytes, self._store_bytes + refill
        )
        share = 1.0 if first else 1 - math.exp(-elapsed / cfg.smoothing_s)
        for key in set(demand) | set(self._demand):
            known = self._demand.get(key, 0.0)
            value = known + share * (demand.get(key, 0.0) - known)
            self._demand[key] = value
        for upstream_id, at in list(self._ordered_at.items()):
            if now - at > cfg.rest_s:
                del self._ordered_at[upstream_id]

    def _use(self, key: PoolKey, placed: list[Placed], less: float) -> float:
        """Return the use of a pool with ``less`` of its rate gone."""
        rate = sum(item.rate for item in placed if item.key == key) - less
        demand = self._demand.get(key, 0.0)
        if demand <= 0:
            return 0.0
        return demand / rate if rate > 0 else math.inf

    def _short_pools(self, placed: list[Placed], now: float) -> list[PoolKey]:
        """Return pools that were short for long enough, worst first."""
        uses = {key: self._use(key, placed, 0.0) for key in self._demand}
        for key, use in uses.items():
            if use <= self.cfg.short_above:
                self._short_since.pop(key, None)
            else:
                self._short_since.setdefault(key, now)
        lasting = [
            key
            for key, since in self._short_since.items()
            if now - since >= self.cfg.hold_s
        ]
        return sorted(lasting, key=lambda key: (-uses[key], str(key)))

    def _order_for(
        self,
        key: PoolKey,
        placed: list[Placed],
        weight_bytes: Mapping[tuple[str, str], int],
        now: float,
    ) -> Order | None:
        donors = [
            item
            for item in placed
            if item.key != key
            and item.upstream_id not in self._ordered_at
            and self._use(item.key, placed, item.rate) < self.cfg.spare_below
        ]
        same = [item for item in donors if _same_weights(item.key, key)]
        if same:
            donor = self._idlest(same, placed)
            return RoleOrder(donor.upstream_id, key.role)
        wanted = (key.model, key.version)
        able = [item for item in donors if wanted in item.may_load]
        size = weight_bytes.get(wanted, 0)
        if not able or size > self._store_bytes:
            return None
        self._store_bytes -= size
        donor = self._idlest(able, placed)
        return LoadOrder(donor.upstream_id, *wanted, key.role, size)

    def _idlest(self, donors: list[Placed], placed: list[Placed]) -> Placed:
        """Return the donor whose pool misses it least."""
        return min(
            donors,
            key=lambda item: (
                self._use(item.key, placed, item.rate),
                item.upstream_id,
            ),
        )


def _same_weights(one: PoolKey, other: PoolKey) -> bool:
    return (one.model, one.version) == (other.model, other.version)
