"""The table of routes, services and workspaces that operators commit."""

from collections.abc import Mapping
import enum
import functools
import math

import attrs


class Kind(enum.Enum):
    """How often the requests of a route may run.

    ``SAFE`` ones may be repeated, ``UNSAFE`` ones may not; a ``STREAM`` may
    only if the route is resumable.
    """

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAM = 'stream'


@attrs.frozen
class Target:
    """A service that receives a share of a route's requests, by weight."""

    service: str
    weight: int = 1


@attrs.frozen
class Route:
    """How requests to a host under a path prefix are served.

    Attributes:
        prefix: begins and ends with a slash.
        timeout_s: longest time that a request may be kept waiting.
        objective_s: time within which an answer, or the first event of a
            stream, is on time.
        gap_objective_s: longest pause between two events of a stream that
            is on time; 0 if not configured.
        priority: 0 is the most urgent.
        attempts: maximum of upstreams that one request is sent to.
        is_public: callers need no key.
        is_resumable: a broken stream may be resumed at another upstream.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    targets: tuple[Target, ...]
    timeout_s: float
    objective_s: float = 0.0
    gap_objective_s: float = 0.0
    priority: int = 5
    attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is Kind.STREAM:
            return self.is_resumable
        return self.kind is Kind.SAFE


@attrs.frozen
class Engine:
    """Capacity and timings of the model engine of a service.

    Attributes:
        slots: requests that run at once on one upstream.
        capacity_tokens: tokens that fit into the memory of one upstream.
        stride: token steps of one pass.
        step_s: duration of a token step.
        step_per_request_s: time that each running request adds to a step.
        read_tokens_per_s: prompt tokens processed in a second.
        sets: sets of layers, each with an expert map; 0 without experts.
        experts: experts in a set.
        placements: experts that one rank may hold in a set.
        spare: experts that one map change may add to a rank in a set.
        expert_mb: size of an expert, in MB.
        expert_share: share of the token work that experts do, 0 to 1.
        link_mbps: bandwidth for copying experts, in Mbit/s.
        context_per_thousand_s: time that 1,000 tokens of context of the
            running requests add to a step.
        pairs_per_million_s: time that a million pairs of a prompt's token
            and an earlier one add to its processing.
        chunk_tokens: prompt tokens processed in one step; 0 if not stated.
        usual_prompt_tokens: of requests that state none; likewise
            ``usual_output_tokens``; 0 if not stated.
    """

    slots: int
    capacity_tokens: int = 0
    stride: int = 1
    step_s: float = 0.0
    step_per_request_s: float = 0.0
    read_tokens_per_s: float = 0.0
    sets: int = 0
    experts: int = 0
    placements: int = 0
    spare: int = 0
    expert_mb: float = 0.0
    expert_share: float = 0.0
    link_mbps: float = 0.0
    context_per_thousand_s: float = 0.0
    pairs_per_million_s: float = 0.0
    chunk_tokens: int = 0
    usual_prompt_tokens: float = 0.0
    usual_output_tokens: float = 0.0


@attrs.frozen
class Service:
    """A set of equal upstreams.

    Attributes:
        max_connections: connections that one upstream accepts from all
            hosts together; 0 if not configured.
        engine: the model engine; None for plain services.
        cold_per_s: requests a second that a cold upstream takes from all
            entries together; 0 if not stated.
        cold_start_s: how long an upstream is cold after its start.
    """

    name: str
    health_path: str = ''
    max_connections: int = 0
    engine: Engine | None = None
    cold_per_s: float = 0.0
    cold_start_s: float = 0.0


@attrs.frozen
class Workspace:
    """A workspace and its callers.

    Attributes:
        keys: keys that identify its callers.
        priority: overrides that of the route, unless None.
    """

    name: str
    keys: tuple[str, ...] = attrs.field(repr=False)
    priority: int | None = None


@attrs.frozen
class CallerLimits:
    """Limits on the size of requests and on idle connections."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen
class RouteTable:
    """A complete configuration; entries use the one of highest version."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    workspaces: tuple[Workspace, ...] = ()
    limits: CallerLimits = CallerLimits()

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or None.

        Args:
            host: the host name in the request, without a port.
            path: the path in the request, without the query.
        """
        prefixes = self._by_host.get(host.lower())
        if prefixes is None:
            return None
        end = path.rfind('/')
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None

    def service(self, name: str) -> Service | None:
        """Return a service by its name, or None."""
        return self._services.get(name)

    def shortest_gap_s(self, service: str) -> float:
        """Return the shortest gap objective of a service's routes, or 0."""
        gaps = [
            route.gap_objective_s
            for route in self.routes
            if route.gap_objective_s
            and any(target.service == service for target in route.targets)
        ]
        return min(gaps, default=0.0)

    def shortest_objective_s(
        self, service: str, below: int | None = None
    ) -> float:
        """Return the shortest objective of a service's routes.

        Args:
            below: only routes with a lower priority number, which are more
                urgent, count.

        Returns:
            infinity if no such route has an objective.
        """
        return min(
            (
                objective_s
                for priority, objective_s in self._objectives.get(service, ())
                if below is None or priority < below
            ),
            default=math.inf,
        )

    def workspace_of(self, key: str) -> Workspace | None:
        """Return the workspace with a key, or None."""
        return self._by_key.get(key)

    @functools.cached_property
    def _by_host(self) -> Mapping[str, Mapping[str, Route]]:
        by_host: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host.lower(), {})[route.prefix] = route
        return by_host

    @functools.cached_property
    def _objectives(self) -> Mapping[str, set[tuple[int, float]]]:
        """Distinct priorities and objectives of the routes to a service."""
        found: dict[str, set[tuple[int, float]]] = {}
        for route in self.routes:
            if not route.objective_s:
                continue
            for target in route.targets:
                pair = route.priority, route.objective_s
                found.setdefault(target.service, set()).add(pair)
        return found

    @functools.cached_property
    def _services(self) -> Mapping[str, Service]:
        return {item.name: item for item in self.services}

    @functools.cached_property
    def _by_key(self) -> Mapping[str, Workspace]:
        return {key: item for item in self.workspaces for key in item.keys}
