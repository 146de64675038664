"""Takes a call from its arrival to its answer and verdict."""

import asyncio
import itertools
import time
from typing import Any

import attrs

from cassiashift_core import admission
from cassiashift_core import CassiashiftError
from cassiashift_core import ErrorCode
from cassiashift_core import retries
from cassiashift_core import routing
from cassiashift_core import Verdict
from cassiashift_daemon import gate
from cassiashift_daemon import members
from cassiashift_daemon import remote
from cassiashift_net import messages

MAX_BUFFERED_BYTES = 8 * 1024 * 1024
NO_UPSTREAM_RETRY_S = 1.0
SSE_TYPE = 'text/event-stream'
_REFUSALS = (ErrorCode.DRAINING, ErrorCode.FENCED, ErrorCode.NO_UPSTREAM)


@attrs.frozen
class Call:
    """A caller's request, after authentication.

    Attributes:
        deadline: monotonic time at which the answer is of no more use.
        idempotency_key: empty when the caller gave none.
    """

    request_id: str
    workspace: str
    route: routing.RouteRequest
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    idempotent: bool
    deadline: float
    priority: int = 0
    tokens: int = 1
    idempotency_key: str = ''

    @property
    def pool(self) -> str:
        """Return the pool of upstreams that can serve the call."""
        return self.route.pool


@attrs.define(eq=False)
class Answer:
    """An upstream's answer; ``stream`` is set when it is not buffered."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes = b''
    stream: remote.RemoteAttempt | None = None
    upstream: str = ''
    replayed: bool = False


@attrs.define(eq=False)
class Target:
    """An upstream chosen for an attempt, and the attempt's id."""

    choice: routing.Choice
    agent: members.AgentAddress
    attempt: str

    @property
    def upstream(self) -> str:
        """Return the id of the upstream."""
        return self.choice.upstream_id


@attrs.define(eq=False)
class CallRunner:
    """Runs calls: admission, then attempts until an answer or a verdict."""

    host: str
    epoch: int
    gate: gate.Gate
    router: routing.Router
    members: members.Members
    attempts: remote.RemoteAttempts
    budget: retries.RetryBudget
    record: Any
    _numbers: Any = attrs.field(factory=itertools.count)
    _near_pools: set[str] = attrs.field(factory=set)

    async def enter(self, call: Call) -> None:
        """Wait for admission.

        Raises:
            CassiashiftError: the call is refused; it was not run.
        """
        capacity = self.router.capacity(call.pool, time.monotonic())
        await self.members.lent.ensure(
            call.pool, call.pool in self._near_pools
        )
        if capacity == 0:
            self.refresh()
            capacity = self.router.capacity(call.pool, time.monotonic())
        self.gate.set_capacity(call.pool, capacity)
        await self.gate.enter(
            admission.AdmissionRequest(
                request_id=call.request_id,
                workspace=call.workspace,
                pool=call.pool,
                tokens=call.tokens,
                body_bytes=len(call.body),
                priority=call.priority,
                deadline=call.deadline,
            )
        )

    def refresh(self) -> None:
        """Tell the router which upstreams there are now."""
        self.router.update_upstreams(
            self.members.upstream_views(), time.monotonic()
        )
        self._near_pools = self.members.near_pools()

    def leave(self, call: Call, used_tokens: float) -> None:
        """Count the end of an admitted call."""
        self.gate.leave(call.request_id, used_tokens)

    def plan(self, call: Call) -> retries.AttemptPlan:
        """Return the plan for a call's attempts."""
        traits = retries.CallTraits(
            idempotent=call.idempotent, deadline=call.deadline
        )
        return retries.AttemptPlan(traits, self.budget)

    async def run(self, call: Call) -> Answer:
        """Return the answer of an idempotent call.

        Raises:
            CassiashiftError: with the verdict over all attempts.
        """
        plan = self.plan(call)
        while True:
            target = self.choose(call, plan)
            try:
                return await self.attempt(call, target, plan)
            except CassiashiftError as exc:
                await self.after_failure(exc, call, target, plan)

    def choose(self, call: Call, plan: retries.AttemptPlan) -> Target:
        """Return the upstream for the next attempt.

        Raises:
            CassiashiftError: no upstream can take the call.
        """
        exclude = frozenset(plan.tried)
        now = time.monotonic()
        choice = self.router.choose(call.route, now, exclude)
        if isinstance(choice, routing.Refusal):
            raise CassiashiftError(
                choice.code, choice.reason, plan.verdict, choice.retry_after_s
            )
        agent = self.members.agent_of(choice.upstream_id)
        if agent is None:
            raise CassiashiftError(
                ErrorCode.NO_UPSTREAM,
                'the upstream has left',
                plan.verdict,
                retry_after_s=NO_UPSTREAM_RETRY_S,
            )
        attempt = retries.AttemptId(
            self.host, self.epoch, next(self._numbers), agent.epoch
        )
        return Target(choice, agent, str(attempt))

    async def attempt(
        self, call: Call, target: Target, plan: retries.AttemptPlan
    ) -> Answer:
        """Make one attempt and return its answer.

        Raises:
            CassiashiftError: the attempt ended without one.
        """
        plan.begin_attempt(target.upstream)
        self.router.record_start(
            target.upstream,
            target.attempt,
            call.route.prompt_tokens,
            time.monotonic(),
            target.choice,
        )
        running = None
        answer = None
        try:
            async with asyncio.timeout_at(self._loop_time(call.deadline)):
                running = await self.attempts.start(
                    target.agent.link, self._start(call, target)
                )
                answer = await self._answer(running, target)
            return answer
        except TimeoutError:
            raise await self._timed_out(target, running) from None
        finally:
            if answer is None or answer.stream is None:
                self._over(target, running)

    async def after_failure(
        self,
        exc: CassiashiftError,
        call: Call,
        target: Target,
        plan: retries.AttemptPlan,
    ) -> None:
        """Return if another attempt may be made.

        Raises:
            CassiashiftError: no attempt may follow.
        """
        decision = plan.record_end(_end(exc), time.monotonic())
        self.record(
            'attempt_failed',
            call.request_id,
            target.attempt,
            code=exc.code.value,
            verdict=exc.verdict.value,
            next=decision.reason,
        )
        if decision.retry:
            return
        raise CassiashiftError(
            decision.code or exc.code,
            exc.message,
            decision.verdict,
            exc.retry_after_s,
        ) from exc

    def stream_ended(
        self, answer: Answer, target_attempt: remote.RemoteAttempt
    ) -> None:
        """Count the end of a streamed answer."""
        self.attempts.forget(target_attempt)
        outcome = _outcome(target_attempt)
        self.router.record_finish(target_attempt.id, outcome, time.monotonic())

    async def _answer(
        self, running: remote.RemoteAttempt, target: Target
    ) -> Answer:
        head = await running.wait_head()
        if _is_stream(head):
            return Answer(
                head.status,
                head.headers,
                stream=running,
                upstream=target.upstream,
            )
        body = bytearray()
        async for data in running.body():
            body += data
            if len(body) > MAX_BUFFERED_BYTES:
                raise CassiashiftError(
                    ErrorCode.BODY_TOO_LARGE,
                    'the answer is too large',
                    Verdict.MAY_HAVE_RUN,
                )
        return Answer(
            head.status, head.headers, bytes(body), upstream=target.upstream
        )

    def _over(
        self, target: Target, running: remote.RemoteAttempt | None
    ) -> None:
        """Forget an attempt; ``running`` is None if it was never sent."""
        outcome = routing.Outcome.REFUSED
        if running is not None:
            self.attempts.forget(running)
            outcome = _outcome(running)
        self.router.record_finish(target.attempt, outcome, time.monotonic())

    async def _timed_out(
        self, target: Target, running: remote.RemoteAttempt | None
    ) -> CassiashiftError:
        verdict = Verdict.NOT_RUN
        if running is not None:
            fenced = await self.attempts.fence(
                target.agent.link, target.attempt
            )
            verdict = fenced.verdict
        return CassiashiftError(
            ErrorCode.DEADLINE_EXCEEDED,
            'the deadline has passed',
            verdict,
        )

    def _start(self, call: Call, target: Target) -> messages.CallStart:
        return messages.CallStart(
            request_id=call.request_id,
            attempt=target.attempt,
            incarnation=target.agent.epoch,
            upstream=target.upstream,
            method=call.method,
            path=call.path,
            headers=call.headers,
            body=call.body,
            deadline_s=max(0.0, call.deadline - time.monotonic()),
            idempotent=call.idempotent,
        )

    @staticmethod
    def _loop_time(deadline: float) -> float:
        left = deadline - time.monotonic()
        return asyncio.get_running_loop().time() + left


def _is_stream(head: messages.CallHead) -> bool:
    for name, value in head.headers:
        if name.lower() == 'content-type':
            return value.startswith(SSE_TYPE)
    return False


def _outcome(running: remote.RemoteAttempt) -> routing.Outcome:
    if running.whole:
        return routing.Outcome.OK
    if running.verdict is Verdict.NOT_RUN:
        return routing.Outcome.REFUSED
    return routing.Outcome.FAILED


def _end(exc: CassiashiftError) -> retries.AttemptEnd:
    if exc.code is ErrorCode.DEADLINE_EXCEEDED:
        if exc.verdict is Verdict.NOT_RUN:
            return retries.AttemptEnd.TIMEOUT_FENCED
        return retries.AttemptEnd.TIMEOUT_UNFENCED
    if exc.verdict is not Verdict.NOT_RUN:
        return retries.AttemptEnd.RESET_AFTER_LAST_BYTE
    if exc.code in _REFUSALS:
        return retries.AttemptEnd.REFUSED_BY_AGENT
    return retries.AttemptEnd.CONNECT_FAILED
