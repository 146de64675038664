"""Repeats orders that ranks have not reported on."""

from collections.abc import Callable
from collections.abc import Iterable

import attrs

from cassiashift_core.rankmaps import model


@attrs.define
class OrderRetries:
    """Send times and attempts of the orders without a report, by rank."""

    _sent_at: dict[int, float] = attrs.field(factory=dict)
    _attempts: dict[int, int] = attrs.field(factory=dict)

    def due_orders(
        self,
        ranks: Iterable[int],
        now: float,
        retry_s: float,
        order_for: Callable[[int], model.Order | None],
    ) -> list[model.Order]:
        """Return the orders that are due, at most one for each rank.

        Args:
            retry_s: seconds after which an order without a report is
                repeated.
            order_for: returns the order for a rank, or None.
        """
        orders = []
        for rank in ranks:
            if not self._is_due(rank, now, retry_s):
                continue
            order = order_for(rank)
            if order is not None:
                self._record_sent(rank, now)
                orders.append(order)
        return orders

    def record_report(self, rank: int) -> None:
        """Record that a rank has reported, so that its next order is due."""
        self._sent_at.pop(rank, None)
        self._attempts.pop(rank, None)

    def is_unanswered(self, rank: int) -> bool:
        """Return whether a rank has not reported after several orders."""
        return self._attempts.get(rank, 0) > 1

    def clear(self) -> None:
        """Make every rank due at once, without earlier attempts."""
        self._sent_at.clear()
        self._attempts.clear()

    def _is_due(self, rank: int, now: float, retry_s: float) -> bool:
        sent_at = self._sent_at.get(rank)
        return sent_at is None or now >= sent_at + retry_s

    def _record_sent(self, rank: int, now: float) -> None:
        self._sent_at[rank] = now
        self._attempts[rank] = self._attempts.get(rank, 0) + 1
