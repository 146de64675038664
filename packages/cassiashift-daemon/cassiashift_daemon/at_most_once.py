"""Runs a non-idempotent call at most once, with the replicated ledger.

The ledger belongs to the log's state. It keeps for each idempotency key the
attempt that was begun, and its outcome.
"""

import asyncio
import hashlib
import time

import attrs

from cassiashift_core import CassiashiftError
from cassiashift_core import ErrorCode
from cassiashift_core import state
from cassiashift_core import Verdict
from cassiashift_daemon import calls
from cassiashift_daemon import logs
from cassiashift_daemon import proposals

POLL_INTERVAL_S = 0.1
CLOSE_TIMEOUT_S = 2.0
FENCE_AFTER_S = 0.3
IN_DOUBT_TIMEOUT_S = 5.0
RETRY_AFTER_S = 1.0
CONTENT_TYPE = 'content-type'


@attrs.define(eq=False)
class AtMostOnceRunner:
    """Records a call in the ledger before the send, and its outcome after.

    Attributes:
        retention_s: how long the ledger keeps the outcome of a key.
    """

    runner: calls.CallRunner
    proposer: proposals.Proposer
    retention_s: float

    async def run(self, call: calls.Call) -> calls.Answer:
        """Return the answer of a call, or the one recorded for its key.

        Raises:
            CassiashiftError: with the verdict over all attempts.
        """
        plan = self.runner.plan(call)
        began = time.monotonic()
        while True:
            try:
                target = self.runner.choose(call, plan)
            except CassiashiftError as exc:
                return await self._answer_from_ledger(call, exc)
            result = await self._open_call(call, target)
            match result:
                case state.CallOpened():
                    answer = await self._make_attempt(call, target, plan)
                    if answer is not None:
                        return answer
                case state.CallRecorded():
                    return _replayed_answer(result)
                case state.KeyReused():
                    raise CassiashiftError(
                        ErrorCode.KEY_REUSED,
                        'the idempotency key belongs to another call',
                    )
                case state.CallInDoubt():
                    await self._resolve_in_doubt(call, result, began)

    async def _answer_from_ledger(
        self, call: calls.Call, refusal: CassiashiftError
    ) -> calls.Answer:
        """Return the recorded answer of a call that no upstream can serve.

        Raises:
            CassiashiftError: the refusal, if no answer is recorded for the
                key; with ``MAY_HAVE_RUN`` if its outcome is unknown.
        """
        if not call.idempotency_key:
            raise refusal
        command = state.FindCall(
            workspace=call.workspace,
            key=_ledger_key(call),
            digest=_request_digest(call),
            at_s=time.time(),
        )
        result = await self.proposer.propose(command)
        if isinstance(result, state.CallRecorded):
            return _replayed_answer(result)
        if isinstance(result, state.CallInDoubt):
            refusal.verdict = Verdict.MAY_HAVE_RUN
        raise refusal

    async def _open_call(self, call: calls.Call, target: calls.Target):
        command = state.OpenCall(
            workspace=call.workspace,
            key=_ledger_key(call),
            digest=_request_digest(call),
            attempt=target.attempt,
            upstream=target.upstream,
            at_s=time.time(),
            retention_s=self.retention_s,
        )
        remaining_s = call.deadline - time.monotonic()
        try:
            return await self.proposer.propose(
                command, min(remaining_s, proposals.PROPOSAL_TIMEOUT_S)
            )
        except CassiashiftError as exc:
            # This attempt was never sent, but an earlier request with the
            # same idempotency key may still be running.
            if not call.idempotency_key:
                exc.verdict = Verdict.NOT_RUN
            raise

    async def _make_attempt(
        self, call: calls.Call, target: calls.Target, plan
    ) -> calls.Answer | None:
        try:
            answer = await self.runner.attempt(call, target, plan)
        except CassiashiftError as exc:
            await self._close_call(call, target, exc.verdict)
            await self.runner.check_retry(exc, call, target, plan)
            return None
        except asyncio.CancelledError:
            await asyncio.shield(
                self._close_call(call, target, Verdict.MAY_HAVE_RUN)
            )
            raise
        await self._close_call(call, target, Verdict.RAN, answer)
        return answer

    async def _close_call(
        self,
        call: calls.Call,
        target: calls.Target,
        verdict: Verdict,
        answer: calls.Answer | None = None,
    ) -> None:
        command = state.CloseCall(
            workspace=call.workspace,
            key=_ledger_key(call),
            attempt=target.attempt,
            verdict=verdict,
            status=answer.status if answer else 0,
            content_type=_content_type(answer) if answer else '',
            body=answer.body if answer else b'',
        )
        try:
            await self.proposer.propose(command, CLOSE_TIMEOUT_S)
        except CassiashiftError as exc:
            logs.warning(
                'outcome_not_recorded',
                request=call.request_id,
                attempt=target.attempt,
                error=str(exc),
            )

    async def _resolve_in_doubt(
        self, call: calls.Call, doubt: state.CallInDoubt, began: float
    ) -> None:
        """Wait for the outcome of an earlier attempt, or fetch and record it.

        The entry that made the attempt may have crashed. The agent knows
        whether the attempt has arrived, still runs or has ended.
        """
        now = time.monotonic()
        give_up_at = min(call.deadline, began + IN_DOUBT_TIMEOUT_S)
        if doubt.settled or now + POLL_INTERVAL_S > give_up_at:
            raise CassiashiftError(
                ErrorCode.OUTCOME_UNKNOWN,
                'an earlier attempt with this key may have run',
                Verdict.MAY_HAVE_RUN,
                retry_after_s=None if doubt.settled else RETRY_AFTER_S,
            )
        agent = self.runner.members.agent_of(doubt.upstream)
        if agent is None or now - began < FENCE_AFTER_S:
            await asyncio.sleep(POLL_INTERVAL_S)
            return
        fenced = await self.runner.attempts.fence(agent.link, doubt.attempt)
        if fenced.running:
            await asyncio.sleep(POLL_INTERVAL_S)
            return
        await self.proposer.propose(
            state.CloseCall(
                workspace=call.workspace,
                key=_ledger_key(call),
                attempt=doubt.attempt,
                verdict=fenced.verdict,
                status=fenced.status,
                content_type=fenced.content_type,
                body=fenced.body,
            )
        )


def _ledger_key(call: calls.Call) -> str:
    return call.idempotency_key or f'request:{call.request_id}'


def _request_digest(call: calls.Call) -> str:
    digest = hashlib.sha256()
    for part in (call.method.encode(), call.path.encode(), call.body):
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.hexdigest()


def _content_type(answer: calls.Answer) -> str:
    for name, value in answer.headers:
        if name.lower() == CONTENT_TYPE:
            return value
    return ''


def _replayed_answer(result: state.CallRecorded) -> calls.Answer:
    return calls.Answer(
        status=result.status,
        headers=(('Content-Type', result.content_type),),
        body=result.body,
        replayed=True,
    )
