"""Shares of the weight store's rate."""


def fair_shares(capacity: float, demands: list[float]) -> list[float]:
    """Return the max-min fair shares of a capacity.

    Bertsekas and Gallager, "Data Networks", 1992, section 6.5.2.
    """
    shares = [0.0] * len(demands)
    left = capacity
    order = sorted(range(len(demands)), key=lambda i: demands[i])
    for position, index in enumerate(order):
        even = left / (len(order) - position)
        shares[index] = min(demands[index], even)
        left -= shares[index]
    return shares


def moves_in_window(
    bytes_per_second: float, window_s: float, bytes_per_expert: int
) -> int | None:
    """Return the experts that can be fetched in a window, at least one.

    A rate of zero stands for moves that take no time.
    """
    if bytes_per_second <= 0:
        return None
    return max(1, int(bytes_per_second * window_s // bytes_per_expert))
