"""Traces of expert loads: made from a seed, or read from JSON lines."""

from collections.abc import Iterable
import enum

import attrs
import msgspec
import numpy as np

CORRELATION = 0.97
DEVIATION = 0.8
EXPERTS = 256
LAYERS = 2
MIN_WINDOWS = 2
SHIFT_EVERY = 32
SPIKE_EVERY = 8
SPIKE_EXPERTS = 4
SPIKE_FACTOR = 20.0
TOKENS = 2_000_000
WINDOWS = 96


class TraceKind(enum.Enum):
    """How the popularity of experts changes."""

    DRIFT = 'drift'
    SHIFT = 'shift'
    SPIKE = 'spike'
    UNIFORM = 'uniform'


class TraceError(ValueError):
    """A file that is no trace; ``line`` counts from one."""

    def __init__(self, line: int, message: str) -> None:
        """Keep the line at fault."""
        super().__init__(f'line {line}: {message}')
        self.line = line


@attrs.frozen
class TraceLine:
    """One line of a trace file."""

    window: int
    layer: int
    tokens: tuple[float, ...]


def generate(
    kind: TraceKind,
    seed: int,
    windows: int = WINDOWS,
    layers: int = LAYERS,
    experts: int = EXPERTS,
    tokens: int = TOKENS,
) -> np.ndarray:
    """Return tokens of shape (windows, layers, experts)."""
    rng = np.random.default_rng(seed)
    trace = np.zeros((windows, layers, experts))
    logs = DEVIATION * rng.standard_normal((layers, experts))
    for window in range(windows):
        if window:
            logs = _next_logs(kind, window, logs, rng)
        shares = _shares(kind, window, logs, rng)
        for layer in range(layers):
            trace[window, layer] = rng.multinomial(tokens, shares[layer])
    return trace


def _next_logs(
    kind: TraceKind, window: int, logs: np.ndarray, rng: np.random.Generator
) -> np.ndarray:
    fresh = DEVIATION * rng.standard_normal(logs.shape)
    if kind is TraceKind.DRIFT:
        return CORRELATION * logs + np.sqrt(1 - CORRELATION**2) * fresh
    if kind is TraceKind.SHIFT and window % SHIFT_EVERY == 0:
        return fresh
    return logs


def _shares(
    kind: TraceKind, window: int, logs: np.ndarray, rng: np.random.Generator
) -> np.ndarray:
    weights = np.ones_like(logs)
    if kind in (TraceKind.DRIFT, TraceKind.SHIFT):
        weights = np.exp(logs)
    if kind is TraceKind.SPIKE and window % SPIKE_EVERY == SPIKE_EVERY - 1:
        for row in weights:
            hot = rng.choice(len(row), SPIKE_EXPERTS, replace=False)
            row[hot] *= SPIKE_FACTOR
    return weights / weights.sum(axis=1, keepdims=True)


def read(lines: Iterable[bytes]) -> np.ndarray:
    """Return the tokens of a trace, of shape (windows, layers, experts).

    Windows and layers count from zero and may come in any order; each pair
    comes once.

    Raises:
        TraceError: a line is malformed, repeated or missing.
    """
    decoder = msgspec.json.Decoder(TraceLine)
    found: dict[tuple[int, int], TraceLine] = {}
    number = 0
    for number, text in enumerate(lines, start=1):
        try:
            line = decoder.decode(text.decode('utf-8'))
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            raise TraceError(number, str(exc)) from exc
        _check_line(number, line, found)
        found[line.window, line.layer] = line
    if not found:
        raise TraceError(1, 'the trace is empty')
    return _assemble(number, found)


def _check_line(
    number: int, line: TraceLine, found: dict[tuple[int, int], TraceLine]
) -> None:
    if line.window < 0 or line.layer < 0:
        raise TraceError(number, 'window and layer must not be negative')
    if (line.window, line.layer) in found:
        raise TraceError(number, 'window and layer are repeated')
    if not line.tokens:
        raise TraceError(number, 'tokens are empty')
    if min(line.tokens) < 0 or not np.isfinite(line.tokens).all():
        raise TraceError(number, 'tokens must be finite and not negative')
    if sum(line.tokens) <= 0:
        raise TraceError(number, 'tokens are all zero')
    other = next(iter(found.values()), line)
    if len(line.tokens) != len(other.tokens):
        raise TraceError(number, 'the number of experts differs')


def _assemble(
    number: int, found: dict[tuple[int, int], TraceLine]
) -> np.ndarray:
    windows = max(window for window, _ in found) + 1
    layers = max(layer for _, layer in found) + 1
    if len(found) != windows * layers:
        raise TraceError(
            number,
            f'{windows} windows of {layers} layers need '
            f'{windows * layers} lines, found {len(found)}',
        )
    if windows < MIN_WINDOWS:
        raise TraceError(number, f'a trace needs {MIN_WINDOWS} windows')
    experts = len(next(iter(found.values())).tokens)
    trace = np.zeros((windows, layers, experts))
    for (window, layer), line in found.items():
        trace[window, layer] = line.tokens
    return trace
