"""The price of a move, from the manifest's weights."""

import attrs

UNIT_PRICE = 0.037
EXPONENT = 0.5
MIN_RATIO = 1e-4


@attrs.frozen
class Prices:
    """Weights of step-time skew and of the cost of rebalancing."""

    skew: float = 1.0
    cost: float = 1.0

    @property
    def skew_per_move(self) -> float:
        """Return the skew that one moved expert has to save.

        The unit is skew times windows: a move that costs 0.02 is worth
        while if it lowers the skew by 0.001 for twenty windows. The price
        grows with the square root of the ratio of the weights: ratios that
        are a hundredfold apart give prices that are tenfold apart.
        """
        ratio = max(self.cost, MIN_RATIO) / max(self.skew, MIN_RATIO)
        return UNIT_PRICE * ratio**EXPONENT
