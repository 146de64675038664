"""Price of a move, from the manifest's weights of skew and cost."""

import attrs

UNIT_PRICE = 0.037
EXPONENT = 0.5
MIN_RATIO = 1e-4


@attrs.frozen
class Prices:
    """Weights of the step-time skew and of the cost of moves."""

    skew: float = 1.0
    cost: float = 1.0

    @property
    def skew_per_move(self) -> float:
        """Lowest decrease of the skew that justifies moving one expert.

        The unit is skew times windows: a move with a price of 0.02 pays if
        it lowers the skew by 0.001 for twenty windows. The price grows with
        the square root of the ratio of the weights: for a hundredfold ratio,
        the price is tenfold.
        """
        ratio = max(self.cost, MIN_RATIO) / max(self.skew, MIN_RATIO)
        return UNIT_PRICE * ratio**EXPONENT
