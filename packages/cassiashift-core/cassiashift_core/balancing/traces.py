"""Traces of expert loads, generated from a seed or read from JSON lines."""

from collections.abc import Iterable
import enum

import attrs
import msgspec
import numpy as np

DRIFT_CORRELATION = 0.97
LOG_DEVIATION = 0.8
DEFAULT_EXPERTS = 256
DEFAULT_LAYERS = 2
MIN_WINDOWS = 2
SHIFT_INTERVAL_WINDOWS = 32
SPIKE_INTERVAL_WINDOWS = 8
SPIKE_EXPERTS = 4
SPIKE_FACTOR = 20.0
TOKENS_PER_LAYER = 2_000_000
DEFAULT_WINDOWS = 96


class TraceKind(enum.Enum):
    """How the popularity of experts changes."""

    DRIFT = 'drift'
    SHIFT = 'shift'
    SPIKE = 'spike'
    UNIFORM = 'uniform'


class TraceError(ValueError):
    """An invalid trace file; ``line`` counts from one."""

    def __init__(self, line: int, message: str) -> None:
        """Prefix the message with the number of the invalid line."""
        super().__init__(f'line {line}: {message}')
        self.line = line


@attrs.frozen
class TraceLine:
    """One line of a trace file: the tokens of each expert of a layer."""

    window: int
    layer: int
    tokens: tuple[float, ...]


def generate(
    kind: TraceKind,
    seed: int,
    windows: int = DEFAULT_WINDOWS,
    layers: int = DEFAULT_LAYERS,
    experts: int = DEFAULT_EXPERTS,
    tokens: int = TOKENS_PER_LAYER,
) -> np.ndarray:
    """Return random tokens of shape (windows, layers, experts).

    The same arguments give the same trace.
    """
    rng = np.random.default_rng(seed)
    trace = np.zeros((windows, layers, experts))
    log_popularity = LOG_DEVIATION * rng.standard_normal((layers, experts))
    for window in range(windows):
        if window:
            log_popularity = _next_log_popularity(
                kind, window, log_popularity, rng
            )
        shares = _popularity_shares(kind, window, log_popularity, rng)
        for layer in range(layers):
            trace[window, layer] = rng.multinomial(tokens, shares[layer])
    return trace


def _next_log_popularity(
    kind: TraceKind,
    window: int,
    log_popularity: np.ndarray,
    rng: np.random.Generator,
) -> np.ndarray:
    fresh = LOG_DEVIATION * rng.standard_normal(log_popularity.shape)
    if kind is TraceKind.DRIFT:
        return (
            DRIFT_CORRELATION * log_popularity
            + np.sqrt(1 - DRIFT_CORRELATION**2) * fresh
        )
    if kind is TraceKind.SHIFT and window % SHIFT_INTERVAL_WINDOWS == 0:
        return fresh
    return log_popularity


def _popularity_shares(
    kind: TraceKind,
    window: int,
    log_popularity: np.ndarray,
    rng: np.random.Generator,
) -> np.ndarray:
    weights = np.ones_like(log_popularity)
    if kind in (TraceKind.DRIFT, TraceKind.SHIFT):
        weights = np.exp(log_popularity)
    if (
        kind is TraceKind.SPIKE
        and window % SPIKE_INTERVAL_WINDOWS == SPIKE_INTERVAL_WINDOWS - 1
    ):
        for row in weights:
            hot = rng.choice(len(row), SPIKE_EXPERTS, replace=False)
            row[hot] *= SPIKE_FACTOR
    return weights / weights.sum(axis=1, keepdims=True)


def read(lines: Iterable[bytes]) -> np.ndarray:
    """Return the tokens of a trace, of shape (windows, layers, experts).

    Windows and layers count from zero. Lines may come in any order, one for
    each pair of a window and a layer.

    Raises:
        TraceError: a line is malformed, repeated or missing.
    """
    decoder = msgspec.json.Decoder(TraceLine)
    lines_by_cell: dict[tuple[int, int], TraceLine] = {}
    line_number = 0
    for line_number, text in enumerate(lines, start=1):
        try:
            line = decoder.decode(text.decode('utf-8'))
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            raise TraceError(line_number, str(exc)) from exc
        _check_line(line_number, line, lines_by_cell)
        lines_by_cell[line.window, line.layer] = line
    if not lines_by_cell:
        raise TraceError(1, 'the trace is empty')
    return _assemble(line_number, lines_by_cell)


def _check_line(
    line_number: int,
    line: TraceLine,
    lines_by_cell: dict[tuple[int, int], TraceLine],
) -> None:
    if line.window < 0 or line.layer < 0:
        raise TraceError(line_number, 'window and layer must not be negative')
    if (line.window, line.layer) in lines_by_cell:
        raise TraceError(line_number, 'the line repeats a window and layer')
    if not line.tokens:
        raise TraceError(line_number, 'tokens are empty')
    if min(line.tokens) < 0 or not np.isfinite(line.tokens).all():
        raise TraceError(line_number, 'tokens must be finite and not negative')
    if sum(line.tokens) <= 0:
        raise TraceError(line_number, 'tokens are all zero')
    first_line = next(iter(lines_by_cell.values()), line)
    if len(line.tokens) != len(first_line.tokens):
        raise TraceError(line_number, 'the number of experts differs')


def _assemble(
    line_number: int, lines_by_cell: dict[tuple[int, int], TraceLine]
) -> np.ndarray:
    windows = max(window for window, _ in lines_by_cell) + 1
    layers = max(layer for _, layer in lines_by_cell) + 1
    if len(lines_by_cell) != windows * layers:
        raise TraceError(
            line_number,
            f'{windows} windows of {layers} layers need '
            f'{windows * layers} lines, found {len(lines_by_cell)}',
        )
    if windows < MIN_WINDOWS:
        raise TraceError(line_number, f'a trace needs {MIN_WINDOWS} windows')
    experts = len(next(iter(lines_by_cell.values())).tokens)
    trace = np.zeros((windows, layers, experts))
    for (window, layer), line in lines_by_cell.items():
        trace[window, layer] = line.tokens
    return trace
