"""When an order is given again."""

import attrs


@attrs.define
class OrderRetries:
    """Times and numbers of the orders that ranks have not reported on."""

    _sent: dict[int, float] = attrs.field(factory=dict)
    _tries: dict[int, int] = attrs.field(factory=dict)

    def is_due(self, rank: int, now: float, retry_s: float) -> bool:
        """Tell whether a rank may be given an order now."""
        sent_at = self._sent.get(rank)
        return sent_at is None or now >= sent_at + retry_s

    def given(self, rank: int, now: float) -> None:
        """Note an order."""
        self._sent[rank] = now
        self._tries[rank] = self._tries.get(rank, 0) + 1

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
