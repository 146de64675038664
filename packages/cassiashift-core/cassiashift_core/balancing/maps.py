"""Expert maps as stored in the log and used by agents, without numpy."""

import attrs
import msgspec


@attrs.frozen
class Fetch:
    """Weights of an expert of a layer that a rank has to fetch."""

    layer: int
    expert: int


@attrs.frozen
class ExpertMap:
    """Assignment of the experts of each layer to ranks.

    Attributes:
        ranks: ids of the ranks, in the order of each layer's rows.
        layers: experts of each rank, by layer.
    """

    ranks: tuple[str, ...]
    layers: tuple[tuple[tuple[int, ...], ...], ...]

    @classmethod
    def evenly_spread(
        cls, slots: dict[str, int], experts: int, layers: int
    ) -> 'ExpertMap':
        """Return a map with one replica of each expert, spread evenly.

        Args:
            slots: experts that each rank can hold for a layer, by rank.
            experts: number of experts, at most the sum of the slots.
            layers: number of layers; all get the same rows.
        """
        rows: dict[str, list[int]] = {rank: [] for rank in slots}
        for expert in range(experts):
            free = [rank for rank in rows if len(rows[rank]) < slots[rank]]
            rows[min(free, key=lambda rank: len(rows[rank]))].append(expert)
        layer = tuple(tuple(row) for row in rows.values())
        return cls(tuple(slots), (layer,) * layers)

    @classmethod
    def from_bytes(cls, body: bytes) -> 'ExpertMap':
        """Decode a map from the body of a switch.

        Raises:
            msgspec.DecodeError: the body is not an encoded map.
        """
        return msgspec.msgpack.decode(body, type=cls)

    def to_bytes(self) -> bytes:
        """Encode the map as the body of a switch."""
        return msgspec.msgpack.encode(self)

    def find_problem(self, experts: int, layers: int) -> str:
        """Return why a group cannot run on the map; empty if it can."""
        if not self.ranks or len(set(self.ranks)) != len(self.ranks):
            return 'the map has no ranks, or a rank twice'
        if len(self.layers) != layers:
            return f'the map has {len(self.layers)} layers, not {layers}'
        for number, rows in enumerate(self.layers):
            if len(rows) != len(self.ranks):
                return f'layer {number} has {len(rows)} rows, not one per rank'
            placed = {expert for row in rows for expert in row}
            if placed != set(range(experts)):
                return f'layer {number} does not hold every expert'
        return ''

    def experts_on(self, rank: str, layer: int) -> tuple[int, ...]:
        """Return a rank's experts of a layer; none for an unknown rank."""
        if rank not in self.ranks:
            return ()
        return self.layers[layer][self.ranks.index(rank)]

    def fetches(self, rank: str, held: 'ExpertMap | None') -> list[Fetch]:
        """Return what a rank has to fetch if it has the weights of ``held``.

        ``None`` stands for a rank without weights.
        """
        return [
            Fetch(layer, expert)
            for layer in range(len(self.layers))
            for expert in self.experts_on(rank, layer)
            if held is None or expert not in held.experts_on(rank, layer)
        ]
