"""Expert maps as the log and the agents carry them; free of numpy."""

import attrs
import msgspec


@attrs.frozen
class Fetch:
    """Weights that a rank has to fetch for a map."""

    layer: int
    expert: int


@attrs.frozen
class ExpertMap:
    """Where the experts of each layer stand.

    Attributes:
        ranks: ids of the ranks, in the order of each layer's rows.
        layers: for each layer and rank, the experts that it holds.
    """

    ranks: tuple[str, ...]
    layers: tuple[tuple[tuple[int, ...], ...], ...]

    @classmethod
    def spread(
        cls, slots: dict[str, int], experts: int, layers: int
    ) -> 'ExpertMap':
        """Return a map with one replica of each expert, evenly spread.

        Args:
            slots: experts that each rank can hold, by rank.
            experts: number of experts, at most the sum of the slots.
            layers: number of layers, which are all alike.
        """
        rows: dict[str, list[int]] = {rank: [] for rank in slots}
        for expert in range(experts):
            free = [rank for rank in rows if len(rows[rank]) < slots[rank]]
            rows[min(free, key=lambda rank: len(rows[rank]))].append(expert)
        layer = tuple(tuple(row) for row in rows.values())
        return cls(tuple(slots), (layer,) * layers)

    @classmethod
    def from_bytes(cls, body: bytes) -> 'ExpertMap':
        """Return the map in a body.

        Raises:
            msgspec.DecodeError: the body is no map.
        """
        return msgspec.msgpack.decode(body, type=cls)

    def to_bytes(self) -> bytes:
        """Return the body of a switch to this map."""
        return msgspec.msgpack.encode(self)

    def problem(self, experts: int, layers: int) -> str:
        """Return why a group can't run on the map, or nothing."""
        if not self.ranks or len(set(self.ranks)) != len(self.ranks):
            return 'the map names no rank, or one twice'
        if len(self.layers) != layers:
            return f'the map has {len(self.layers)} layers, not {layers}'
        for number, rows in enumerate(self.layers):
            if len(rows) != len(self.ranks):
                return f'layer {number} has {len(rows)} rows'
            placed = {expert for row in rows for expert in row}
            if placed != set(range(experts)):
                return f'layer {number} does not hold every expert'
        return ''

    def experts(self, rank: str, layer: int) -> tuple[int, ...]:
        """Return the experts that a rank holds; none for an unknown rank."""
        if rank not in self.ranks:
            return ()
        return self.layers[layer][self.ranks.index(rank)]

    def fetches(self, rank: str, held: 'ExpertMap | None') -> list[Fetch]:
        """Return what a rank has to fetch when it holds another map."""
        return [
            Fetch(layer, expert)
            for layer in range(len(self.layers))
            for expert in self.experts(rank, layer)
            if held is None or expert not in held.experts(rank, layer)
        ]
