"""The ledger of non-idempotent calls."""

import enum

import attrs

from cassiashift_core.state import commands
from cassiashift_core.state import results
from cassiashift_core import verdicts


class CallState(enum.Enum):
    """How far the call of a key has come."""

    OPEN = 'open'
    DOUBTFUL = 'doubtful'
    RECORDED = 'recorded'
    NOT_RUN = 'not_run'


@attrs.define
class CallRecord:
    """What is known of one key."""

    digest: str
    attempt: str
    upstream: str
    expires_s: float
    state: CallState = CallState.OPEN
    status: int = 0
    content_type: str = ''
    body: bytes = b''


_STATE_OF_VERDICT = {
    verdicts.Verdict.NOT_RUN: CallState.NOT_RUN,
    verdicts.Verdict.MAY_HAVE_RUN: CallState.DOUBTFUL,
    verdicts.Verdict.RAN: CallState.RECORDED,
}


@attrs.define
class Ledger:
    """Records of non-idempotent calls by workspace and key.

    A key is opened at most once until its attempt is known not to have
    run. ``clock_s`` is the largest time that any command carried, so that
    a proposer with a slow clock can't bring an expired key back.
    """

    records: dict[str, dict[str, CallRecord]] = attrs.field(factory=dict)
    clock_s: float = 0.0

    def open(
        self, command: commands.OpenCall
    ) -> (
        results.CallOpened
        | results.CallInDoubt
        | results.CallRecorded
        | results.KeyReused
    ):
        """Record an intent, or return what is known of the key."""
        self.clock_s = max(self.clock_s, command.at_s)
        calls = self.records.setdefault(command.workspace, {})
        record = calls.get(command.key)
        if record is not None and record.expires_s > self.clock_s:
            return self._known(command, record)
        calls[command.key] = self._opened(command)
        return results.CallOpened(command.attempt)

    def close(self, command: commands.CloseCall) -> results.Accepted:
        """Record the outcome of the attempt that the key stands for.

        An outcome never replaces a recorded answer, and an attempt that is
        known not to have run stays so.
        """
        record = self.records.get(command.workspace, {}).get(command.key)
        if record is None or record.attempt != command.attempt:
            return results.Accepted(0)
        if record.state in (CallState.RECORDED, CallState.NOT_RUN):
            return results.Accepted(0)
        record.state = _STATE_OF_VERDICT[command.verdict]
        record.status = command.status
        record.content_type = command.content_type
        record.body = command.body
        return results.Accepted(0)

    def expire(self) -> int:
        """Remove expired records and return how many were removed."""
        removed = 0
        for workspace, calls in list(self.records.items()):
            expired = [
                key
                for key, record in calls.items()
                if record.expires_s <= self.clock_s
            ]
            for key in expired:
                del calls[key]
            removed += len(expired)
            if not calls:
                del self.records[workspace]
        return removed

    def count(self) -> int:
        """Return the number of records."""
        return sum(len(calls) for calls in self.records.values())

    def _known(
        self, command: commands.OpenCall, record: CallRecord
    ) -> (
        results.CallOpened
        | results.CallInDoubt
        | results.CallRecorded
        | results.KeyReused
    ):
        if record.digest != command.digest:
            return results.KeyReused(record.digest)
        if record.state is CallState.RECORDED:
            return results.CallRecorded(
                record.status, record.content_type, record.body
            )
        if record.state is CallState.NOT_RUN:
            fresh = self._opened(command)
            self.records[command.workspace][command.key] = fresh
            return results.CallOpened(command.attempt)
        if record.attempt == command.attempt:
            return results.CallOpened(command.attempt)
        return results.CallInDoubt(
            record.attempt,
            record.upstream,
            settled=record.state is CallState.DOUBTFUL,
        )

    def _opened(self, command: commands.OpenCall) -> CallRecord:
        return CallRecord(
            digest=command.digest,
            attempt=command.attempt,
            upstream=command.upstream,
            expires_s=command.at_s + command.retention_s,
        )
