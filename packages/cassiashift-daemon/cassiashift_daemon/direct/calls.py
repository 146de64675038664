"""The state of one caller's request while an entry serves it."""

import asyncio
import random
import time

import attrs
import multidict

from cassiashift_core import CassiashiftError
from cassiashift_core import costs
from cassiashift_core import ErrorCode
from cassiashift_core import fleet
from cassiashift_core import placing
from cassiashift_core import poison
from cassiashift_core import routes
from cassiashift_core import Verdict
from cassiashift_daemon.direct import dialect

# Headers of one connection only (RFC 9110, section 7.6.1), and headers that
# the HTTP client sets itself.
HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'expect',
    )
)
LOWEST_PRIORITY = 9


@attrs.define(eq=False)
class Call:
    """A caller's request that has been read and authenticated.

    Attributes:
        path: path and query as the caller sent them.
        arrived_at: monotonic time at which it was read.
        ends_at: monotonic time of the caller's deadline or the route's
            timeout, whichever is first.
        deadline_at: monotonic time of the caller's own deadline.
        service: the service chosen by the weights of the route.
        parts: ids of the parts of its prompt that others may share.
        identity: equal for requests that repeat this one, whatever their ids.
        size: the size that its headers state.
        cost: what it is expected to cost; None before it is placed.
        is_being_sent: a send has begun whose outcome is not known.
        upstream_id: id of the upstream of the newest send; empty before one.
        send_events: events received in answer to the newest send.
        has_begun: the caller has been sent a part of the answer.
        scope: ends the request at ``ends_at``, while that is awaited.
        log: the sends that have ended.
    """

    id: str
    method: str
    path: str
    headers: multidict.CIMultiDictProxy
    body: bytes
    route: routes.Route
    workspace: routes.Workspace | None
    service: str
    arrived_at: float
    deadline_at: float
    ends_at: float
    parts: tuple[str, ...] = ()
    identity: str = ''
    size: costs.StatedSize = costs.StatedSize()
    cost: costs.Cost | None = None
    is_being_sent: bool = False
    upstream_id: str = ''
    send_events: int = 0
    has_begun: bool = False
    scope: asyncio.Timeout | None = None
    log: placing.AttemptLog = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create an empty log of sends."""
        self.log = placing.AttemptLog(self.route)

    @property
    def priority(self) -> int:
        """Return the priority, 0 to 9; 0 is served first."""
        priority = self.route.priority
        if self.workspace is not None and self.workspace.priority is not None:
            priority = self.workspace.priority
        return min(max(priority, 0), LOWEST_PRIORITY)

    @property
    def verdict(self) -> Verdict:
        """Return the verdict on whether the request may have run by now.

        Combines the verdicts of the ended sends and of one in progress.
        """
        if self.is_being_sent:
            return self.log.verdict.combine(Verdict.MAY_HAVE_RUN)
        return self.log.verdict

    def record_send_end(
        self, upstream: fleet.Upstream, verdict: Verdict
    ) -> None:
        """Record the verdict of a send that has ended."""
        self.is_being_sent = False
        self.log.record(upstream.id, verdict)

    def remaining_s(self) -> float:
        """Return the seconds until ``ends_at``; negative after it."""
        return self.ends_at - time.monotonic()

    def headers_for(
        self,
        names: dialect.HeaderNames,
        upstream: fleet.Upstream,
        last_event: int | None,
    ) -> multidict.CIMultiDict:
        """Return the headers of the request that is sent to an upstream.

        Args:
            last_event: id of the last event that the caller was sent, if
                the upstream is to resume a stream after it.
        """
        dropped = HOP_BY_HOP_HEADERS | {
            'authorization',
            names.workspace.lower(),
            names.expected_upstream.lower(),
            names.deadline_ms.lower(),
            names.priority.lower(),
        }
        for value in self.headers.getall('Connection', ()):
            dropped |= {item.strip().lower() for item in value.split(',')}
        headers = multidict.CIMultiDict(
            (name, value)
            for name, value in self.headers.items()
            if name.lower() not in dropped
        )
        left_ms = (self.deadline_at - time.monotonic()) * 1000
        headers[names.deadline_ms] = str(max(1, int(left_ms)))
        headers[names.expected_upstream] = upstream.id
        headers[names.priority] = str(self.priority)
        if self.workspace is not None:
            headers[names.workspace] = self.workspace.name
        if last_event is not None:
            headers[names.last_event] = str(last_event)
        return headers


def identify(
    secret: str,
    workspace: routes.Workspace | None,
    method: str,
    path: str,
    body: bytes,
    prompt: str,
) -> str:
    """Return the identity of a request, the same at all entries."""
    name = '' if workspace is None else workspace.name
    return poison.request_identity(secret, name, method, path, body, prompt)


def pick_service(route: routes.Route, rng: random.Random) -> str:
    """Return one of a route's services, drawn at random by weight."""
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [target.weight for target in route.targets]
    return rng.choices(route.targets, weights)[0].service


def strip_query(raw_path: str) -> str:
    """Return a request target's path, without the query."""
    return raw_path.partition('?')[0]


async def within_deadline(call: Call, coroutine):
    """Await a coroutine until ``ends_at`` of a call.

    Raises:
        CassiashiftError: DEADLINE_EXCEEDED; the coroutine was cancelled.
    """
    try:
        async with asyncio.timeout(max(0.0, call.remaining_s())) as scope:
            call.scope = scope
            return await coroutine
    except TimeoutError:
        raise CassiashiftError(
            ErrorCode.DEADLINE_EXCEEDED,
            'no answer within the time allowed',
            call.verdict,
        ) from None
    finally:
        call.scope = None
