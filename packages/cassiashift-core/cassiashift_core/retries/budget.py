"""A retry budget: limits retries to a share of first tries."""

import attrs


@attrs.define
class RetryBudget:
    """Bounds retries by ``reserve + ratio * first tries``.

    Each first try deposits ``ratio``, each retry withdraws one, and the
    balance never exceeds ``reserve``. An outage therefore multiplies the
    load by at most ``1 + ratio`` once the reserve is spent.

    Attributes:
        ratio: retries that each first try adds to the balance.
        reserve: initial and largest balance, in retries.
        first_tries: first attempts so far.
        retries: allowed retries so far.
        denied: denied retries so far.
    """

    ratio: float = 0.1
    reserve: float = 50.0
    first_tries: int = attrs.field(default=0, init=False)
    retries: int = attrs.field(default=0, init=False)
    denied: int = attrs.field(default=0, init=False)
    _balance: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start with a full reserve."""
        self._balance = self.reserve

    def record_first_try(self) -> None:
        """Deposit ``ratio`` for one first try."""
        self.first_tries += 1
        self._balance = min(self.reserve, self._balance + self.ratio)

    def try_spend(self) -> bool:
        """Withdraw one retry; return whether the balance allowed it."""
        if self._balance < 1.0:
            self.denied += 1
            return False
        self._balance -= 1.0
        self.retries += 1
        return True
