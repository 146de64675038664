"""Limits on moves that follow from the bandwidth of the weight store."""


def max_min_shares(capacity: float, demands: list[float]) -> list[float]:
    """Return the max-min fair shares of a capacity.

    Bertsekas and Gallager, "Data Networks", 1992, section 6.5.2.
    """
    shares = [0.0] * len(demands)
    remaining = capacity
    order = sorted(range(len(demands)), key=lambda i: demands[i])
    for position, index in enumerate(order):
        equal_share = remaining / (len(order) - position)
        shares[index] = min(demands[index], equal_share)
        remaining -= shares[index]
    return shares


def max_moves_in_window(
    bytes_per_second: float, window_s: float, bytes_per_expert: int
) -> int | None:
    """Return how many experts can be fetched in a window, at least one.

    Returns ``None`` for no limit if the rate is zero, which stands for
    moves that take no time.
    """
    if bytes_per_second <= 0:
        return None
    return max(1, int(bytes_per_second * window_s // bytes_per_expert))
