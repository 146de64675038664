"""Messages between the system's own processes."""

import attrs

from cassiashift_core import codec
from cassiashift_core import consensus
from cassiashift_core import fleet
from cassiashift_core import mapswitch
from cassiashift_core import membership
from cassiashift_core import rankmaps
from cassiashift_core import spread
from cassiashift_core import timeline
from cassiashift_core import verdicts

CODEC = codec.Codec()
ORDERS = codec.Codec()


@attrs.frozen
class CallStart:
    """Start one attempt of a request at an upstream.

    Attributes:
        incarnation: the agent's incarnation that the attempt is meant for;
            another incarnation refuses it.
        deadline_s: seconds that the attempt may last.
        idempotent: the exchange may be repeated by the HTTP client.
        clock: the entry's reading at the send.
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
    """The status and headers of the upstream's answer."""

    attempt: str
    status: int
    headers: tuple[tuple[str, str], ...]


@attrs.frozen
class CallData:
    """One piece of the answer's body; ``sequence`` counts from 0."""

    attempt: str
    sequence: int
    data: bytes


@attrs.frozen
class CallEnd:
    """The end mark of an answer.

    Attributes:
        pieces: number of the answer's pieces.
        clock: the agent's reading at the send.
    """

    attempt: str
    pieces: int
    clock: timeline.Timestamp = timeline.Timestamp()


@attrs.frozen
class CallFailed:
    """The attempt ended without a whole answer."""

    attempt: str
    code: str
    message: str
    verdict: verdicts.Verdict
    clock: timeline.Timestamp = timeline.Timestamp()


@attrs.frozen
class CallCredit:
    """Allow the agent to send so many more bytes of the answer."""

    attempt: str
    size: int


@attrs.frozen
class CallCancel:
    """Stop an attempt whose caller is gone."""

    attempt: str


@attrs.frozen
class Fence:
    """Refuse this attempt from now on and tell whether it arrived."""

    attempt: str


@attrs.frozen
class Fenced:
    """The attempt starts no more; the verdict tells of its past.

    Attributes:
        running: the attempt is in progress; its outcome will follow.
        status: with ``content_type`` and ``body`` the answer of a
            non-idempotent attempt that ran.
    """

    attempt: str
    verdict: verdicts.Verdict
    running: bool = False
    status: int = 0
    content_type: str = ''
    body: bytes = b''


@attrs.frozen
class Proposal:
    """Ask a voter to put a command into the log."""

    token: str
    data: bytes


@attrs.frozen
class ProposalAnswer:
    """The result of a proposal, or why there is none.

    Attributes:
        result: the encoded result; empty when the proposal failed.
        error: an error code; ``outcome_unknown`` when the command may
            still be committed.
        leader: a host that is more likely to be the leader, or empty.
    """

    token: str
    result: bytes
    error: str = ''
    leader: str = ''


@attrs.frozen
class Survey:
    """Ask a process what it knows, for an operator's command.

    Attributes:
        spread: an entry asks the others of its data centre too.
    """

    token: str
    spread: bool = False


@attrs.frozen
class HostState:
    """One process as an entry knows it."""

    host: str
    data_centre: str
    role: str
    revision: int


@attrs.frozen
class UpstreamState:
    """One announced upstream.

    Attributes:
        in_flight: calls in progress; only the agent itself knows them.
    """

    id: str
    host: str
    data_centre: str
    healthy: bool
    draining: bool
    in_flight: int = 0


@attrs.frozen
class SurveyAnswer:
    """What one process knows."""

    token: str
    hosts: tuple[HostState, ...]
    upstreams: tuple[UpstreamState, ...]


@attrs.frozen
class PoolQuery:
    """Ask an entry of another data centre for upstreams of a pool."""

    pool: str


@attrs.frozen
class LentUpstream:
    """An upstream of another data centre and how to reach its agent."""

    announcement: membership.Announcement
    host: str
    address: str
    epoch: int


@attrs.frozen
class PoolAnswer:
    """Usable upstreams of a pool, a bounded number of them."""

    pool: str
    data_centre: str
    upstreams: tuple[LentUpstream, ...]


@attrs.frozen
class EventsQuery:
    """Ask a process for its events of a request, or for all."""

    token: str
    request: str = ''


@attrs.frozen
class EventsAnswer:
    """The events that a process still holds."""

    token: str
    events: tuple[timeline.Event, ...]
    dropped: int


@attrs.frozen
class Demand:
    """What a workspace offered at an entry."""

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
    """Answer a report; the leases count from its send."""

    number: int
    grants: tuple[Grant, ...]
    lease_s: float


@attrs.frozen
class RankOrder:
    """An order of a map switch for one rank.

    Attributes:
        data: the order, as ``ORDERS`` encodes it.
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


_OWN_TYPES = {
    'start': CallStart,
    'head': CallHead,
    'data': CallData,
    'end': CallEnd,
    'failed': CallFailed,
    'credit': CallCredit,
    'cancel': CallCancel,
    'fence': Fence,
    'fenced': Fenced,
    'propose': Proposal,
    'proposed': ProposalAnswer,
    'survey': Survey,
    'surveyed': SurveyAnswer,
    'pool': PoolQuery,
    'lent': PoolAnswer,
    'events': EventsQuery,
    'recorded': EventsAnswer,
    'demand': DemandReport,
    'grants': ShareGrants,
    'order': RankOrder,
    'counts': ExpertCounts,
    'hello': fleet.Hello,
    'upstreams': fleet.UpstreamNews,
    'tables': fleet.TablePull,
    'tabled': fleet.TableDump,
    'document': fleet.DocumentPull,
    'documented': fleet.DocumentPush,
}

for _tag, _cls in _OWN_TYPES.items():
    CODEC.register(_tag, _cls)
for _cls in consensus.MESSAGE_TYPES.values():
    CODEC.register(f'log.{_cls.__name__}', _cls)
for _cls in membership.MESSAGE_TYPES:
    CODEC.register(f'member.{_cls.__name__}', _cls)
for _cls in spread.MESSAGE_TYPES:
    CODEC.register(f'spread.{_cls.__name__}', _cls)
for _cls in mapswitch.REPORT_TYPES:
    CODEC.register(f'switch.{_cls.__name__}', _cls)
for _cls in rankmaps.MESSAGE_TYPES:
    CODEC.register(f'rank.{_cls.__name__}', _cls)
for _cls in mapswitch.ORDER_TYPES:
    ORDERS.register(_cls.__name__, _cls)
