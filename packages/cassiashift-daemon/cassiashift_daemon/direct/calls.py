"""One request of a caller, on its way through an entry."""

import asyncio
import random
import time

import attrs
import multidict

from cassiashift_core import CassiashiftError
from cassiashift_core import ErrorCode
from cassiashift_core import fleet
from cassiashift_core import placing
from cassiashift_core import routes
from cassiashift_core import Verdict
from cassiashift_daemon.direct import dialect

# Headers that concern one connection only (RFC 9110, section 7.6.1), and
# those that the sending library sets itself.
HOP_HEADERS = frozenset(
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
    """A request that was read and may be served.

    Attributes:
        path: path and query as the caller sent them.
        arrived_at: monotonic time at which it was read.
        ends_at: monotonic time of the caller's deadline or the route's
            timeout, whichever is first.
        deadline_at: monotonic time of the caller's own deadline.
        service: the service that the request was assigned to.
        is_being_sent: a send has begun whose outcome is not known.
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
    is_being_sent: bool = False
    log: placing.AttemptLog = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start with no send."""
        self.log = placing.AttemptLog(self.route)

    @property
    def priority(self) -> int:
        """Return the urgency, 0 to 9; 0 is first."""
        priority = self.route.priority
        if self.workspace is not None and self.workspace.priority is not None:
            priority = self.workspace.priority
        return min(max(priority, 0), LOWEST_PRIORITY)

    @property
    def verdict(self) -> Verdict:
        """Return whether the request may have run by now."""
        if self.is_being_sent:
            return self.log.verdict.combine(Verdict.MAY_HAVE_RUN)
        return self.log.verdict

    def ended(self, upstream: fleet.Upstream, verdict: Verdict) -> None:
        """Note the end of a send."""
        self.is_being_sent = False
        self.log.record(upstream.id, verdict)

    def left_s(self) -> float:
        """Return the seconds until the request is given up."""
        return self.ends_at - time.monotonic()

    def headers_for(
        self,
        names: dialect.HeaderNames,
        upstream: fleet.Upstream,
        last_event: int | None,
    ) -> multidict.CIMultiDict:
        """Return the headers that an upstream is sent."""
        dropped = HOP_HEADERS | {
            'authorization',
            names.workspace.lower(),
            names.expected_upstream.lower(),
            names.deadline_ms.lower(),
            names.priority.lower(),
        }
        for value in self.headers.getall('Connection', ()):
            dropped |= {item.strip().lower() for item in value.split(',')}
        sent = multidict.CIMultiDict(
            (name, value)
            for name, value in self.headers.items()
            if name.lower() not in dropped
        )
        left_ms = (self.deadline_at - time.monotonic()) * 1000
        sent[names.deadline_ms] = str(max(1, int(left_ms)))
        sent[names.expected_upstream] = upstream.id
        sent[names.priority] = str(self.priority)
        if self.workspace is not None:
            sent[names.workspace] = self.workspace.name
        if last_event is not None:
            sent[names.last_event] = str(last_event)
        return sent


def pick_service(route: routes.Route, rng: random.Random) -> str:
    """Return one of a route's services, by weight."""
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [target.weight for target in route.targets]
    return rng.choices(route.targets, weights)[0].service


def path_of(raw_path: str) -> str:
    """Return a request target's path, without the query."""
    return raw_path.partition('?')[0]


async def until_end(call: Call, coroutine):
    """Await a coroutine up to the moment at which a call is given up.

    Raises:
        CassiashiftError: DEADLINE_EXCEEDED.
    """
    try:
        async with asyncio.timeout(max(0.0, call.left_s())):
            return await coroutine
    except TimeoutError:
        raise CassiashiftError(
            ErrorCode.DEADLINE_EXCEEDED,
            'no answer within the time allowed',
            call.verdict,
        ) from None
