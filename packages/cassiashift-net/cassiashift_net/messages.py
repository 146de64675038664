"""Messages between the entries and agents of the daemon.

``ORDERS`` encodes the engine orders inside a ``RankOrder``.
"""

import attrs

from cassiashift_core import codec
from cassiashift_core import mapswitch
from cassiashift_core import membership
from cassiashift_core import timeline
from cassiashift_core import verdicts
from cassiashift_net import wire

CODEC = wire.CODEC
ORDERS = codec.Codec()


@attrs.frozen
class CallStart:
    """Start one attempt of a request at an upstream.

    Attributes:
        incarnation: the incarnation of the agent that the attempt is for;
            another incarnation refuses it.
        deadline_s: seconds that the attempt may last.
        idempotent: the HTTP client may repeat the exchange.
        clock: the entry's clock when the message was sent.
    """

    request_id: str
    attempt: str
    incarnation: int
    upstream: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline_s: float
    idempotent: bool = True
    clock: timeline.Timestamp = timeline.Timestamp()


@attrs.frozen
class CallHead:
    """The status and headers of the upstream's response."""

    attempt: str
    status: int
    headers: tuple[tuple[str, str], ...]


@attrs.frozen
class CallData:
    """One piece of the response body; ``sequence`` counts from 0."""

    attempt: str
    sequence: int
    data: bytes


@attrs.frozen
class CallEnd:
    """The response is complete.

    Attributes:
        pieces: number of ``CallData`` messages of the response.
        clock: the agent's clock when the message was sent.
    """

    attempt: str
    pieces: int
    clock: timeline.Timestamp = timeline.Timestamp()


@attrs.frozen
class CallFailed:
    """The attempt ended without a complete response.

    Attributes:
        crash: the upstream has crashed under it; a number that tells the
            crashes of one upstream apart, 0 if it has not.
    """

    attempt: str
    code: str
    message: str
    verdict: verdicts.Verdict
    clock: timeline.Timestamp = timeline.Timestamp()
    crash: int = 0


@attrs.frozen
class CallCredit:
    """Allow the agent to send ``size`` more bytes of the response."""

    attempt: str
    size: int


@attrs.frozen
class CallCancel:
    """Stop an attempt whose caller has disconnected."""

    attempt: str


@attrs.frozen
class Fence:
    """Refuse this attempt from now on; ask whether it had arrived."""

    attempt: str


@attrs.frozen
class Fenced:
    """The reply to ``Fence``: the attempt will not start after this.

    Attributes:
        verdict: whether the attempt had run before the fence.
        running: the attempt is in progress; its outcome will follow.
        status: with ``content_type`` and ``body`` the response of a
            non-idempotent attempt that ran.
    """

    attempt: str
    verdict: verdicts.Verdict
    running: bool = False
    status: int = 0
    content_type: str = ''
    body: bytes = b''


@attrs.frozen
class Survey:
    """Ask a process for the hosts and upstreams it knows.

    An operator's command causes it.

    Attributes:
        spread: the entry must ask the others of its data centre too.
    """

    token: str
    spread: bool = False


@attrs.frozen
class HostState:
    """The state of one process, as an entry knows it."""

    host: str
    data_centre: str
    role: str
    revision: int


@attrs.frozen
class UpstreamState:
    """The state of one announced upstream.

    Attributes:
        in_flight: calls in progress; only the upstream's agent knows it.
    """

    id: str
    host: str
    data_centre: str
    healthy: bool
    draining: bool
    in_flight: int = 0


@attrs.frozen
class SurveyAnswer:
    """The hosts and upstreams that one process knows."""

    token: str
    hosts: tuple[HostState, ...]
    upstreams: tuple[UpstreamState, ...]


@attrs.frozen
class PoolQuery:
    """Ask an entry of another data centre for upstreams of a pool."""

    pool: str


@attrs.frozen
class LentUpstream:
    """An upstream of another data centre and the address of its agent."""

    announcement: membership.Announcement
    host: str
    address: str
    epoch: int


@attrs.frozen
class PoolAnswer:
    """A bounded number of usable upstreams of a pool."""

    pool: str
    data_centre: str
    upstreams: tuple[LentUpstream, ...]


@attrs.frozen
class EventsQuery:
    """Ask a process for its events of a request, or for all if it is empty."""

    token: str
    request: str = ''


@attrs.frozen
class EventsAnswer:
    """The events that a process has kept; ``dropped`` counts the others."""

    token: str
    events: tuple[timeline.Event, ...]
    dropped: int


@attrs.frozen
class Demand:
    """The load that a workspace's callers offer at an entry."""

    workspace: str
    tokens_per_second: float


@attrs.frozen
class DemandReport:
    """Report the demands at an entry and ask for shares of the limits."""

    number: int
    demands: tuple[Demand, ...]


@attrs.frozen
class Grant:
    """A share, from 0 to 1, of a workspace's limits."""

    workspace: str
    share: float


@attrs.frozen
class ShareGrants:
    """Reply to a report; leases run from the time the report was sent."""

    number: int
    grants: tuple[Grant, ...]
    lease_s: float


@attrs.frozen
class RankOrder:
    """An order of a map switch for one rank.

    Attributes:
        data: the order, encoded by ``ORDERS``.
    """

    rank: str
    data: bytes


@attrs.frozen
class ExpertCounts:
    """Tokens that a rank's router has sent to each expert in a window.

    Attributes:
        tokens: counts by layer and expert.
    """

    group: str
    rank: str
    tokens: tuple[tuple[int, ...], ...]


for _cls in mapswitch.ORDER_TYPES:
    ORDERS.register(_cls.__name__, _cls)
