"""When an order is given again."""

from collections.abc import Callable
from collections.abc import Iterable

import attrs

from cassiashift_core.rankmaps import model


@attrs.define
class OrderRetries:
    """Times and numbers of the orders that ranks have not reported on."""

    _sent: dict[int, float] = attrs.field(factory=dict)
    _tries: dict[int, int] = attrs.field(factory=dict)

    def due_orders(
        self,
        ranks: Iterable[int],
        now: float,
        retry_s: float,
        order_for: Callable[[int], model.Order | None],
    ) -> list[model.Order]:
        """Return the orders that are due, at most one for each rank.

        Args:
            retry_s: seconds after which an order without a report is given
                again.
            order_for: returns what a rank is to be told, if anything.
        """
        orders = []
        for rank in ranks:
            if not self._is_due(rank, now, retry_s):
                continue
            order = order_for(rank)
            if order is not None:
                self._given(rank, now)
                orders.append(order)
        return orders

    def reported(self, rank: int) -> None:
        """Note that a rank has reported; the next order may follow."""
        self._sent.pop(rank, None)
        self._tries.pop(rank, None)

    def is_unanswered(self, rank: int) -> bool:
        """Tell whether a rank was given several orders without a report."""
        return self._tries.get(rank, 0) > 1

    def clear(self) -> None:
        """Forget all orders."""
        self._sent.clear()
        self._tries.clear()

    def _is_due(self, rank: int, now: float, retry_s: float) -> bool:
        sent_at = self._sent.get(rank)
        return sent_at is None or now >= sent_at + retry_s

    def _given(self, rank: int, now: float) -> None:
        self._sent[rank] = now
        self._tries[rank] = self._tries.get(rank, 0) + 1
