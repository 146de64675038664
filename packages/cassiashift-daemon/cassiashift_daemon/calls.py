"""Admits a call, makes its attempts and returns its answer or verdict."""

import asyncio
import functools
import itertools
import time
from typing import Any

import attrs

from cassiashift_core import admission
from cassiashift_core import CassiashiftError
from cassiashift_core import ErrorCode
from cassiashift_core import poison
from cassiashift_core import retries
from cassiashift_core import routing
from cassiashift_core import Verdict
from cassiashift_daemon import block_sharing
from cassiashift_daemon import gate
from cassiashift_daemon import logs
from cassiashift_daemon import members
from cassiashift_daemon import remote
from cassiashift_daemon import request_guard
from cassiashift_net import messages

MAX_BUFFERED_BYTES = 8 * 1024 * 1024
NO_UPSTREAM_RETRY_S = 1.0
SSE_TYPE = 'text/event-stream'
EVACUATED_RETRY_S = 2.0
_REFUSALS = (ErrorCode.DRAINING, ErrorCode.FENCED, ErrorCode.NO_UPSTREAM)


@attrs.define(eq=False)
class Progress:
    """How far a call has come.

    Attributes:
        upstream: id of the upstream of the newest attempt; empty before one.
        sends: number of attempts, with one in progress.
        is_being_sent: an attempt is in progress.
        stream: the attempt whose answer the caller is being sent.
    """

    upstream: str = ''
    sends: int = 0
    is_being_sent: bool = False
    stream: remote.RemoteAttempt | None = None

    @property
    def has_begun(self) -> bool:
        """Return whether the caller is being sent a streamed answer."""
        return self.stream is not None

    @property
    def chunks(self) -> int:
        """Return the number of chunks of the streamed answer so far."""
        return 0 if self.stream is None else self.stream.chunk_count

    def begin_attempt(self, upstream: str) -> None:
        """Record that an attempt begins."""
        self.upstream = upstream
        self.sends += 1
        self.is_being_sent = True

    def end_attempt(self) -> None:
        """Record that an attempt has ended or streams its answer."""
        self.is_being_sent = False


@attrs.frozen
class Call:
    """A caller's request, after authentication.

    Attributes:
        deadline: monotonic time after which no attempt runs any more.
        priority: 0 to 9, of the caller's header.
        tokens: estimated tokens, which admission charges.
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
    progress: Progress = attrs.field(factory=Progress, eq=False)

    @property
    def pool(self) -> str:
        """Return the name of the pool whose upstreams can serve the call."""
        return self.route.pool

    @functools.cached_property
    def subject(self) -> block_sharing.Subject:
        """Return what the call is judged by before each attempt."""
        identity = poison.request_identity(
            '', self.workspace, self.method, self.path, self.body
        )
        return block_sharing.Subject(self.request_id, identity, self.pool)


@attrs.define(eq=False)
class Answer:
    """An upstream's answer.

    Attributes:
        stream: the running attempt if the body is streamed, else None.
        upstream: id of the upstream; empty for an answer of the ledger.
        replayed: the answer was recorded for an earlier request.
    """

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
        """Return the id of the chosen upstream."""
        return self.choice.upstream_id


@attrs.define(eq=False)
class CallRunner:
    """Runs calls: admission, then attempts until an answer or a verdict.

    Attributes:
        epoch: start time of this process, part of each attempt id.
        record: adds an event to the time line.
    """

    host: str
    epoch: int
    gate: gate.Gate
    router: routing.Router
    members: members.Members
    attempts: remote.RemoteAttempts
    budget: retries.RetryBudget
    guard: request_guard.RequestGuard
    record: Any
    _attempt_numbers: Any = attrs.field(factory=itertools.count)
    _local_pools: set[str] = attrs.field(factory=set)
    _evacuated_pools: set[str] = attrs.field(factory=set)

    async def enter(self, call: Call) -> None:
        """Wait for admission.

        A pool without an upstream in this data centre borrows some first.

        Raises:
            CassiashiftError: the call is refused; it was not run.
        """
        capacity = self.router.capacity(call.pool, time.monotonic())
        await self.members.lent.borrow(
            call.pool, call.pool in self._local_pools
        )
        if capacity == 0 or call.pool in self._evacuated_pools:
            self.refresh()
            capacity = self.router.capacity(call.pool, time.monotonic())
        if call.pool in self._evacuated_pools:
            raise CassiashiftError(
                ErrorCode.NO_UPSTREAM,
                _evacuated_reason(call.pool),
                retry_after_s=EVACUATED_RETRY_S,
            )
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
        """Update the router's upstreams from membership and the manifest."""
        self.router.update_upstreams(
            self.members.upstream_views(), time.monotonic()
        )
        self._local_pools = self.members.local_pools()
        self._evacuated_pools = self.members.evacuated_pools()

    async def leave_evacuated(self) -> None:
        """Let waiting calls use borrowed upstreams, or refuse them."""
        for pool in self.gate.admission.waiting_pools():
            await self.members.lent.borrow(pool, pool in self._local_pools)
            self.refresh()
            if pool in self._evacuated_pools:
                refused = self.gate.refuse_all(pool, _evacuated_reason(pool))
                logs.warning('queue_evacuated', pool=pool, refused=refused)
            else:
                capacity = self.router.capacity(pool, time.monotonic())
                self.gate.set_capacity(pool, capacity)

    def release(self, call: Call, used_tokens: float) -> None:
        """Release the admission of a call that has ended."""
        self.gate.release(call.request_id, used_tokens)

    def plan(self, call: Call) -> retries.AttemptPlan:
        """Return the retry plan of a call, before its first attempt."""
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
                await self.check_retry(exc, call, target, plan)

    def choose(self, call: Call, plan: retries.AttemptPlan) -> Target:
        """Return an upstream for the next attempt, and a new attempt id.

        Raises:
            CassiashiftError: no upstream can serve the call now, or it is
                blocked.
        """
        self.guard.sharing.check(call.subject, plan.verdict)
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
                'the agent of the chosen upstream has left',
                plan.verdict,
                retry_after_s=NO_UPSTREAM_RETRY_S,
            )
        attempt = retries.AttemptId(
            self.host, self.epoch, next(self._attempt_numbers), agent.epoch
        )
        return Target(choice, agent, str(attempt))

    async def attempt(
        self, call: Call, target: Target, plan: retries.AttemptPlan
    ) -> Answer:
        """Make one attempt and return its answer.

        At the deadline the attempt is fenced, which gives its verdict.

        Raises:
            CassiashiftError: the attempt ended without an answer.
        """
        plan.begin_attempt(target.upstream)
        call.progress.begin_attempt(target.upstream)
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
                    target.agent.link, self._start_message(call, target)
                )
                answer = await self._read_answer(running, target)
            if answer.stream is None:
                self.guard.sharing.record_answer(call.subject)
            return answer
        except TimeoutError:
            raise await self._fence_timed_out(target, running) from None
        finally:
            call.progress.end_attempt()
            if running is not None and running.crash:
                self.guard.record_crash(
                    call.subject, target.upstream, running.crash
                )
            if answer is None or answer.stream is None:
                self._finish_attempt(target, running)

    async def check_retry(
        self,
        exc: CassiashiftError,
        call: Call,
        target: Target,
        plan: retries.AttemptPlan,
    ) -> None:
        """Record a failed attempt; raise unless another may be made.

        Raises:
            CassiashiftError: no other attempt may be made.
        """
        decision = plan.record_end(_attempt_end(exc), time.monotonic())
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

    def finish_stream(self, call: Call, running: remote.RemoteAttempt) -> None:
        """Release the attempt of a streamed answer and record its outcome."""
        if running.complete:
            self.guard.sharing.record_answer(call.subject)
        self.attempts.release(running)
        outcome = _routing_outcome(running)
        self.router.record_finish(running.id, outcome, time.monotonic())

    async def _read_answer(
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

    def _finish_attempt(
        self, target: Target, running: remote.RemoteAttempt | None
    ) -> None:
        """Release an attempt; ``running`` is None if it was never sent."""
        outcome = routing.Outcome.REFUSED
        if running is not None:
            self.attempts.release(running)
            outcome = _routing_outcome(running)
        self.router.record_finish(target.attempt, outcome, time.monotonic())

    async def _fence_timed_out(
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

    def _start_message(self, call: Call, target: Target) -> messages.CallStart:
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
        remaining_s = deadline - time.monotonic()
        return asyncio.get_running_loop().time() + remaining_s


def _is_stream(head: messages.CallHead) -> bool:
    for name, value in head.headers:
        if name.lower() == 'content-type':
            return value.startswith(SSE_TYPE)
    return False


def _routing_outcome(running: remote.RemoteAttempt) -> routing.Outcome:
    if running.complete:
        return routing.Outcome.OK
    if running.verdict is Verdict.NOT_RUN:
        return routing.Outcome.REFUSED
    return routing.Outcome.FAILED


def _attempt_end(exc: CassiashiftError) -> retries.AttemptEnd:
    if exc.code is ErrorCode.DEADLINE_EXCEEDED:
        if exc.verdict is Verdict.NOT_RUN:
            return retries.AttemptEnd.TIMEOUT_FENCED
        return retries.AttemptEnd.TIMEOUT_UNFENCED
    if exc.verdict is not Verdict.NOT_RUN:
        return retries.AttemptEnd.RESET_AFTER_LAST_BYTE
    if exc.code in _REFUSALS:
        return retries.AttemptEnd.REFUSED_BY_AGENT
    return retries.AttemptEnd.CONNECT_FAILED


def _evacuated_reason(pool: str) -> str:
    return f'all upstreams of {pool} are in evacuated data centres'
