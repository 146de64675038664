"""Weighted fair queue of one pool.

Each workspace has a counter of the tokens that it was given, divided by
its weight. The waiting workspace with the lowest counter goes next. A
workspace that comes back after a pause is lifted to the lowest counter in
use, so that it cannot save up. When a call ends, the counter is corrected
by the tokens that it really used. Source: Sheng et al., "Fairness in
serving large language models", OSDI 2024 (virtual token counter).
"""

import bisect
from collections.abc import Callable
from collections.abc import Iterator

import attrs

from cassiashift_core.admission import model

MIN_WEIGHT = 1e-6


@attrs.frozen(order=True)
class _Place:
    """Order within a workspace: priority, then arrival."""

    rank: int
    sequence: int
    waiting: 'Waiting' = attrs.field(order=False)


@attrs.frozen
class Waiting:
    """A waiting call and the time of its arrival."""

    req: model.AdmissionRequest
    since: float


@attrs.define
class _Line:
    """Waiting calls and the counter of one workspace."""

    weight: float = 1.0
    counter: float = 0.0
    in_flight: int = 0
    tokens_by_rank: dict[int, int] = attrs.field(factory=dict)
    places: list[_Place] = attrs.field(factory=list)

    @property
    def active(self) -> bool:
        return bool(self.places) or self.in_flight > 0

    @property
    def tokens(self) -> int:
        return sum(self.tokens_by_rank.values())

    def tokens_up_to(self, rank: int) -> int:
        return sum(
            tokens
            for other, tokens in self.tokens_by_rank.items()
            if other <= rank
        )

    def first(self, useful: Callable[[Waiting], bool]) -> int | None:
        for index, place in enumerate(self.places):
            if useful(place.waiting):
                return index
        return None

    def add(self, place: _Place) -> None:
        bisect.insort(self.places, place)
        self._count(place, place.waiting.req.tokens)

    def remove(self, index: int) -> Waiting:
        place = self.places.pop(index)
        self._count(place, -place.waiting.req.tokens)
        return place.waiting

    def _count(self, place: _Place, tokens: int) -> None:
        total = self.tokens_by_rank.get(place.rank, 0) + tokens
        self.tokens_by_rank[place.rank] = total


@attrs.define
class FairQueue:
    """Waiting calls of one pool, in weighted fair order."""

    lines: dict[str, _Line] = attrs.field(factory=dict)
    count: int = 0
    total_bytes: int = 0
    _sequence: int = 0

    def push(
        self, waiting: Waiting, weight: float, front: bool = False
    ) -> None:
        """Add a waiting call, at the end or the front of its priority."""
        req = waiting.req
        line = self._line(req.workspace, weight)
        self._sequence += 1
        sequence = -self._sequence if front else self._sequence
        line.add(_Place(-req.priority, sequence, waiting))
        self.count += 1
        self.total_bytes += req.body_bytes

    def pop(
        self,
        ready: Callable[[str], bool],
        useful: Callable[[Waiting], bool],
    ) -> Waiting | None:
        """Remove the next useful call of a workspace that is ready.

        Calls that are not useful stay, for ``drop`` to remove.
        """
        best = None
        best_index = 0
        for workspace, line in self.lines.items():
            if not line.places:
                continue
            if best is not None and line.counter >= best.counter:
                continue
            index = line.first(useful)
            if index is not None and ready(workspace):
                best = line
                best_index = index
        if best is None:
            return None
        return self._remove(best, best_index)

    def active_weight(self) -> float:
        """Return the sum of the weights of active workspaces."""
        return sum(line.weight for line in self.lines.values() if line.active)

    def has_waiting(self, workspace: str) -> bool:
        """Tell whether a workspace has waiting calls."""
        line = self.lines.get(workspace)
        return line is not None and bool(line.places)

    def tokens_waiting(self, workspace: str) -> int:
        """Return the tokens of a workspace's waiting calls."""
        line = self.lines.get(workspace)
        return 0 if line is None else line.tokens

    def set_weight(self, workspace: str, weight: float) -> None:
        """Change the weight of a workspace that the queue knows."""
        line = self.lines.get(workspace)
        if line is not None and weight != line.weight:
            self._reweigh(line, max(weight, MIN_WEIGHT))

    def charge(self, workspace: str, tokens: float, weight: float) -> None:
        """Count the start of a call that takes so many tokens."""
        line = self._line(workspace, weight)
        line.in_flight += 1
        line.counter += tokens / line.weight

    def settle(self, workspace: str, correction: float) -> None:
        """Count the end of a call; ``correction`` is used less charged."""
        line = self.lines[workspace]
        line.in_flight -= 1
        line.counter += correction / line.weight
        self._forget_idle(workspace, line)

    def drop(self, unwanted: Callable[[Waiting], bool]) -> Iterator[Waiting]:
        """Remove and yield the waiting calls that are unwanted."""
        for workspace, line in list(self.lines.items()):
            for index in range(len(line.places) - 1, -1, -1):
                if unwanted(line.places[index].waiting):
                    yield self._remove(line, index)
            if workspace in self.lines:
                self._forget_idle(workspace, line)

    def drop_last(self, workspace: str) -> Waiting:
        """Remove the call that its workspace would start last."""
        line = self.lines[workspace]
        waiting = self._remove(line, len(line.places) - 1)
        self._forget_idle(workspace, line)
        return waiting

    def longest(self) -> tuple[str, float]:
        """Return the workspace with most waiting per weight, and it."""
        workspace, line = max(
            self.lines.items(),
            key=lambda item: (item[1].tokens / item[1].weight, item[0]),
        )
        return workspace, line.tokens / line.weight

    def tokens_before(self, req: model.AdmissionRequest) -> float:
        """Estimate the tokens that are served before a new call.

        Every other waiting workspace is served in turn, so each adds the
        smaller of its own queue and its weighted share beside the calls
        of this workspace that go first.
        """
        own = self.lines.get(req.workspace, _Line())
        ahead = own.tokens_up_to(-req.priority)
        finish = own.counter + (ahead + req.tokens) / own.weight
        total = float(ahead)
        for workspace, line in self.lines.items():
            if workspace == req.workspace or not line.places:
                continue
            share = max(0.0, (finish - line.counter) * line.weight)
            total += min(line.tokens, share)
        return total

    def _line(self, workspace: str, weight: float) -> _Line:
        line = self.lines.get(workspace)
        if line is None:
            line = _Line()
            self.lines[workspace] = line
        if not line.active:
            line.counter = max(line.counter, self._lowest())
        if weight != line.weight:
            self._reweigh(line, max(weight, MIN_WEIGHT))
        return line

    def _reweigh(self, line: _Line, weight: float) -> None:
        """Change a weight; what the line is ahead in tokens is kept."""
        base = self._lowest()
        ahead = (line.counter - base) * line.weight
        line.weight = weight
        line.counter = base + ahead / weight

    def _lowest(self) -> float:
        counters = [
            line.counter for line in self.lines.values() if line.active
        ]
        return min(counters, default=0.0)

    def _remove(self, line: _Line, index: int) -> Waiting:
        waiting = line.remove(index)
        self.count -= 1
        self.total_bytes -= waiting.req.body_bytes
        return waiting

    def _forget_idle(self, workspace: str, line: _Line) -> None:
        """Drop an idle workspace without debt, or all when all idle."""
        if line.active:
            return
        if not any(other.active for other in self.lines.values()):
            self.lines.clear()
        elif line.counter <= self._lowest():
            del self.lines[workspace]
