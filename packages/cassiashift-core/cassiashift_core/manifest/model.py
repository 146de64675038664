"""The manifest's data classes, in the shape of the file.

A pipeline generates the file; ``docs/MANIFEST.md`` describes each field.
"""

import enum

import attrs

FORMAT_VERSION = 1


class UpstreamKind(enum.Enum):
    """What an upstream is."""

    ENGINE = 'engine'
    SERVICE = 'service'


class Role(enum.Enum):
    """Which phase of a generation an engine serves."""

    PREFILL = 'prefill'
    DECODE = 'decode'
    BOTH = 'both'


@attrs.frozen
class DataCentre:
    """A data centre within a region."""

    id: str


@attrs.frozen
class Region:
    """A region and its data centres."""

    id: str
    data_centres: tuple[DataCentre, ...]


@attrs.frozen
class Model:
    """A model with the versions and adapters that may be asked for."""

    id: str
    versions: tuple[str, ...] = ('1',)
    adapters: tuple[str, ...] = ()


@attrs.frozen
class Offer:
    """One model version, with adapters, that an upstream may serve."""

    model: str
    version: str = '1'
    adapters: tuple[str, ...] = ()


@attrs.frozen
class Upstream:
    """An expected upstream.

    Attributes:
        checks_orders: the upstream authenticates who gives it an order.
        refuses_old_fencing: the upstream refuses an order that carries an
            older fencing number than one that it has seen.
        concurrency: requests in progress that the upstream can hold.
    """

    id: str
    host: str
    data_centre: str
    kind: UpstreamKind = UpstreamKind.ENGINE
    protocol: str = 'openai-http'
    role: Role = Role.BOTH
    offers: tuple[Offer, ...] = ()
    service: str | None = None
    checks_orders: bool = False
    refuses_old_fencing: bool = False
    concurrency: int = 32


@attrs.frozen
class Rank:
    """One rank of a lock-step group.

    Attributes:
        slots: experts that the rank can hold for each layer.
        speed: relative speed of the accelerator, 1.0 for nominal.
    """

    id: str
    upstream: str
    slots: int
    speed: float = 1.0


@attrs.frozen
class Group:
    """Ranks that advance in lock-step on one expert map."""

    id: str
    model: str
    data_centre: str
    ranks: tuple[Rank, ...]
    experts: int = 256
    layers: int = 1
    bytes_per_expert: int = 44_040_192


@attrs.frozen
class Call:
    """A call of a plain service; ``path`` may end in ``*``."""

    method: str
    path: str
    idempotent: bool = True


@attrs.frozen
class Service:
    """A plain service and its calls."""

    id: str
    calls: tuple[Call, ...]


@attrs.frozen
class Limits:
    """Limits of a workspace over all entries."""

    requests_per_second: float = 100.0
    tokens_per_second: float = 100_000.0
    concurrency: int = 256


@attrs.frozen
class Workspace:
    """A workspace; ``key_hashes`` are SHA-256 in lower-case hex."""

    id: str
    weight: float = 1.0
    limits: Limits = Limits()
    key_hashes: tuple[str, ...] = ()
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()


@attrs.frozen
class Measures:
    """Weights of step-time skew and of the cost of rebalancing."""

    skew: float = 1.0
    cost: float = 1.0


@attrs.frozen
class Manifest:
    """All that the operators expect to exist."""

    name: str
    regions: tuple[Region, ...]
    version: int = FORMAT_VERSION
    measures: Measures = Measures()
    models: tuple[Model, ...] = ()
    upstreams: tuple[Upstream, ...] = ()
    groups: tuple[Group, ...] = ()
    services: tuple[Service, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
