"""The manifest's data classes, in the shape of the file.

A pipeline generates the file; ``docs/MANIFEST.md`` describes each field.
"""

import enum
from typing import Annotated

import attrs
import msgspec

FORMAT_VERSION = 1
MAX_NAME_CHARACTERS = 64
MAX_PATH_CHARACTERS = 256
MAX_CONCURRENCY = 1_000_000
MAX_SLOTS = 65_536
MAX_EXPERTS = 65_536
MAX_LAYERS = 4_096
MAX_BYTES_PER_EXPERT = 2**50
MAX_SPEED = 1_000.0
MAX_WEIGHT = 1_000_000.0
MAX_RATE_PER_S = 1e12

# The look-ahead matches the end of the text in every dialect of regular
# expressions; "$" also matches before a final line break in some.
NAME_PATTERN = r'^[A-Za-z0-9][A-Za-z0-9._-]*(?![\s\S])'
PATH_PATTERN = r'^/[!-~]*(?![\s\S])'
HASH_PATTERN = r'^[0-9a-f]{64}(?![\s\S])'
METHOD_PATTERN = r'^[A-Z]{1,16}(?![\s\S])'

Name = Annotated[
    str,
    msgspec.Meta(
        pattern=NAME_PATTERN, min_length=1, max_length=MAX_NAME_CHARACTERS
    ),
]
Path = Annotated[
    str,
    msgspec.Meta(pattern=PATH_PATTERN, max_length=MAX_PATH_CHARACTERS),
]
KeyHash = Annotated[str, msgspec.Meta(pattern=HASH_PATTERN)]
Method = Annotated[str, msgspec.Meta(pattern=METHOD_PATTERN)]
Concurrency = Annotated[int, msgspec.Meta(ge=1, le=MAX_CONCURRENCY)]
Weight = Annotated[float, msgspec.Meta(ge=0, le=MAX_WEIGHT)]
PositiveWeight = Annotated[float, msgspec.Meta(gt=0, le=MAX_WEIGHT)]
Rate = Annotated[float, msgspec.Meta(gt=0, le=MAX_RATE_PER_S)]


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

    id: Name


@attrs.frozen
class Region:
    """A region and its data centres."""

    id: Name
    data_centres: tuple[DataCentre, ...]


@attrs.frozen
class Model:
    """A model with the versions and adapters that may be asked for."""

    id: Name
    versions: tuple[Name, ...] = ('1',)
    adapters: tuple[Name, ...] = ()


@attrs.frozen
class Offer:
    """One model version, with adapters, that an upstream may serve."""

    model: Name
    version: Name = '1'
    adapters: tuple[Name, ...] = ()


@attrs.frozen
class Upstream:
    """An expected upstream.

    Attributes:
        checks_orders: the upstream authenticates who gives it an order.
        refuses_old_fencing: the upstream refuses an order that carries an
            older fencing number than one that it has seen.
        concurrency: requests in progress that the upstream can hold.
    """

    id: Name
    host: Name
    data_centre: Name
    kind: UpstreamKind = UpstreamKind.ENGINE
    protocol: Name = 'openai-http'
    role: Role = Role.BOTH
    offers: tuple[Offer, ...] = ()
    service: Name | None = None
    checks_orders: bool = False
    refuses_old_fencing: bool = False
    concurrency: Concurrency = 32


@attrs.frozen
class Rank:
    """One rank of a lock-step group.

    Attributes:
        slots: experts that the rank can hold for each layer.
        speed: relative speed of the accelerator, 1.0 for nominal.
    """

    id: Name
    upstream: Name
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    speed: Annotated[float, msgspec.Meta(gt=0, le=MAX_SPEED)] = 1.0


@attrs.frozen
class Group:
    """Ranks that advance in lock-step on one expert map."""

    id: Name
    model: Name
    data_centre: Name
    ranks: tuple[Rank, ...]
    experts: Annotated[int, msgspec.Meta(ge=1, le=MAX_EXPERTS)] = 256
    layers: Annotated[int, msgspec.Meta(ge=1, le=MAX_LAYERS)] = 1
    bytes_per_expert: Annotated[
        int, msgspec.Meta(ge=1, le=MAX_BYTES_PER_EXPERT)
    ] = 44_040_192


@attrs.frozen
class Call:
    """A call of a plain service; ``path`` may end in ``*``."""

    method: Method
    path: Path
    idempotent: bool = True


@attrs.frozen
class Service:
    """A plain service and its calls."""

    id: Name
    calls: tuple[Call, ...]


@attrs.frozen
class Limits:
    """Limits of a workspace over all entries."""

    requests_per_second: Rate = 100.0
    tokens_per_second: Rate = 100_000.0
    concurrency: Concurrency = 256


@attrs.frozen
class Workspace:
    """A workspace; ``key_hashes`` are SHA-256 in lower-case hex."""

    id: Name
    weight: PositiveWeight = 1.0
    limits: Limits = Limits()
    key_hashes: tuple[KeyHash, ...] = ()
    models: tuple[Name, ...] = ()
    services: tuple[Name, ...] = ()


@attrs.frozen
class Measures:
    """Weights of step-time skew and of the cost of rebalancing."""

    skew: Weight = 1.0
    cost: Weight = 1.0


@attrs.frozen
class Manifest:
    """All that the operators expect to exist."""

    name: Name
    regions: tuple[Region, ...]
    version: Annotated[
        int, msgspec.Meta(ge=FORMAT_VERSION, le=FORMAT_VERSION)
    ] = FORMAT_VERSION
    measures: Measures = Measures()
    models: tuple[Model, ...] = ()
    upstreams: tuple[Upstream, ...] = ()
    groups: tuple[Group, ...] = ()
    services: tuple[Service, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
