"""The ledger of non-idempotent calls, by workspace and key."""

import enum

import attrs

from cassiashift_core.state import commands
from cassiashift_core.state import results
from cassiashift_core import verdicts


CallResult = (
    results.CallOpened
    | results.CallUnknown
    | results.CallInDoubt
    | results.CallRecorded
    | results.KeyReused
)


class CallState(enum.Enum):
    """The state of a call: open, or closed with one of the verdicts."""

    OPEN = 'open'
    DOUBTFUL = 'doubtful'
    RECORDED = 'recorded'
    NOT_RUN = 'not_run'


@attrs.define
class CallRecord:
    """The current attempt of a key, and its answer if it ran."""

    digest: str
    attempt: str
    upstream: str
    expires_s: float
    state: CallState = CallState.OPEN
    status: int = 0
    content_type: str = ''
    body: bytes = b''


_STATE_BY_VERDICT = {
    verdicts.Verdict.NOT_RUN: CallState.NOT_RUN,
    verdicts.Verdict.MAY_HAVE_RUN: CallState.DOUBTFUL,
    verdicts.Verdict.RAN: CallState.RECORDED,
}


@attrs.define
class Ledger:
    """Records of non-idempotent calls by workspace and key.

    A key is opened again only when its attempt is known not to have run, or
    when its record has expired. ``clock_s`` is the largest time that any
    command carried, so that a proposer with a slow clock can't restore an
    expired key.
    """

    records: dict[str, dict[str, CallRecord]] = attrs.field(factory=dict)
    clock_s: float = 0.0

    def open(self, command: commands.OpenCall) -> CallResult:
        """Record an intent, or return the state of the key's earlier call."""
        record = self._unexpired_record(command)
        result = None if record is None else _result_for(command, record)
        if result is not None and not _is_same_intent(command, record):
            return result
        calls = self.records.setdefault(command.workspace, {})
        calls[command.key] = self._new_record(command)
        return results.CallOpened(command.attempt)

    def find(self, command: commands.FindCall) -> CallResult:
        """Return the state of the key's call without recording anything."""
        record = self._unexpired_record(command)
        result = None if record is None else _result_for(command, record)
        return results.CallUnknown() if result is None else result

    def close(self, command: commands.CloseCall) -> results.Accepted:
        """Record the outcome of the key's current attempt.

        The outcomes RECORDED and NOT_RUN are final; commands for another
        attempt are ignored.
        """
        record = self.records.get(command.workspace, {}).get(command.key)
        if record is None or record.attempt != command.attempt:
            return results.Accepted(0)
        if record.state in (CallState.RECORDED, CallState.NOT_RUN):
            return results.Accepted(0)
        record.state = _STATE_BY_VERDICT[command.verdict]
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

    def _unexpired_record(
        self, command: commands.OpenCall | commands.FindCall
    ) -> CallRecord | None:
        """Return the record of a command's key unless it has expired.

        The time of the command may advance ``clock_s`` first.
        """
        self.clock_s = max(self.clock_s, command.at_s)
        calls = self.records.get(command.workspace, {})
        record = calls.get(command.key)
        if record is None or record.expires_s <= self.clock_s:
            return None
        return record

    def _new_record(self, command: commands.OpenCall) -> CallRecord:
        return CallRecord(
            digest=command.digest,
            attempt=command.attempt,
            upstream=command.upstream,
            expires_s=command.at_s + command.retention_s,
        )


def _result_for(
    command: commands.OpenCall | commands.FindCall, record: CallRecord
) -> CallResult | None:
    """Return the result for a record, or None if its attempt did not run."""
    if record.digest != command.digest:
        return results.KeyReused(record.digest)
    if record.state is CallState.RECORDED:
        return results.CallRecorded(
            record.status, record.content_type, record.body
        )
    if record.state is CallState.NOT_RUN:
        return None
    return results.CallInDoubt(
        record.attempt,
        record.upstream,
        settled=record.state is CallState.DOUBTFUL,
    )


def _is_same_intent(command: commands.OpenCall, record: CallRecord) -> bool:
    """Return whether an intent repeats the one of an open record."""
    is_open = record.state is CallState.OPEN
    same_call = record.digest == command.digest
    return is_open and same_call and record.attempt == command.attempt
