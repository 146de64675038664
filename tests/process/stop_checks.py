"""What must hold for the requests of callers around planned stops.

- A request that was read ends without a whole answer neither once it has been
  passed on nor later than ``LOSS_SLACK_S`` after its last byte.
- After the SIGTERM it gets the answer of an upstream or a refusal, the latter
  at once.
- Answers are whole and belong to their request, events come in order.
- What may not be repeated runs at most once, what is refused never.

Not counted are requests whose caller left, whose deadline or timeout was
reached, or whose upstream was still at work in the last sixth of the grace
period, if they were sent in the first 3 s of it.
"""

import math

import attrs

from tests.process import stop_callers
from tests.process import stop_plans
from tests.process import stop_upstreams

# Bounds of the users' platform.
LOSS_SLACK_S = 0.2
EXCUSED_FROM_S = stop_plans.GRACE_S * 5 / 6
EXCUSED_SENT_S = 3.0
TIMEOUT_SLACK_S = 0.5
# Timers of an event loop count whole milliseconds.
TIMER_S = 0.001
LATE_CALLS = 8
REFUSED = (429, 503)
RUN_ONCE = ('book', 'stream')


@attrs.frozen
class Outcome:
    """A request, its runs and the stop around which it was sent or ended.

    Attributes:
        own_delay_s: time between its last byte and its end in which the
            process of the soak had no turn.
        waited_s: time in which its entry waited for a processor, as a trace.
    """

    call: stop_callers.Call
    runs: list[stop_upstreams.Run]
    stop: stop_plans.Stop | None
    own_delay_s: float
    waited_s: float

    def problems(self):
        """Yield the kinds of problems."""
        call = self.call
        if call.fault or call.is_whole and call.check_answer():
            yield 'mixed'
        if call.route in RUN_ONCE and len(self.runs) > 1:
            yield 'twice'
        if call.status in REFUSED and self.runs:
            yield 'refused but run'
        if call.sent_at is None:
            return
        if self._is_held():
            yield 'held'
        if not self._is_excused():
            yield from self._problems_of_end()

    def is_late(self):
        """Return whether it had no final answer after its limit.

        A caller may read its answer slowly for longer.
        """
        limit_at = self.call.sent_from + self.call.limit_s
        return self.call.ended_at > limit_at + TIMEOUT_SLACK_S

    def is_refused(self):
        """Return whether it was refused."""
        return self.call.status in REFUSED

    def _problems_of_end(self):
        call = self.call
        if not call.is_whole and self.runs:
            yield 'lost'
        if self.stop is None or call.sent_from < self.stop.sigterm_at:
            return
        if self.is_refused() and self._is_slow(call.turn_at):
            yield 'refused late'
        if call.is_whole and call.status not in (200, *REFUSED):
            yield 'failed'

    def _is_held(self):
        has_left = self.call.has_left and (
            self.call.manner == stop_callers.LEAVER
        )
        is_unread = not self.call.is_whole and not self.runs
        limit_at = self.call.sent_from + self.call.limit_s
        # An answer has to wait for those to the requests before.
        has_turn = self.call.turn_at < limit_at
        return is_unread and has_turn and not has_left and self._is_slow()

    def _is_slow(self, turn_at=0.0):
        since = max(self.call.sent_at, turn_at)
        # What crosses the head of a close is not to be served (RFC 9112).
        until = min(self.call.ended_at, self.call.dropped_at)
        took_s = until - since - self.own_delay_s
        return took_s > LOSS_SLACK_S

    def _is_excused(self):
        call = self.call
        limit_at = call.sent_from + call.limit_s - TIMER_S
        if call.has_left or call.ended_at >= limit_at:
            return True
        stop = self.stop
        if stop is None or call.sent_at > stop.sigterm_at + EXCUSED_SENT_S:
            return False
        last_sixth_at = stop.sigterm_at + EXCUSED_FROM_S
        return call.ended_at >= last_sixth_at and any(
            run.ended_at is None or run.ended_at >= last_sixth_at
            for run in self.runs
        )

    def __str__(self):
        """Return the request with times from the SIGTERM, if there is one."""
        call, stop = self.call, self.stop
        since = call.sent_from if stop is None else stop.sigterm_at
        runs = [
            f'{run.started_at - since:.2f}..'
            + ('' if run.ended_at is None else f'{run.ended_at - since:.2f}')
            + ('' if run.is_whole else ' cut')
            for run in self.runs
        ]
        sent_at = math.nan if call.sent_at is None else call.sent_at - since
        gone_at = math.nan if stop is None else stop.ended_at - since
        return (
            f'{call.id} {call.route} {call.manner} entry {call.entry} sent '
            f'{call.sent_from - since:.2f}..{sent_at:.2f} end '
            f'{call.ended_at - since:.2f} limit {call.limit_s:.2f} work '
            f'{call.work_s:.2f} status {call.status} whole {call.is_whole} '
            f'bytes {len(call.body)} runs {runs} process gone {gone_at:.2f} '
            f'own delay {self.own_delay_s:.2f} waited {self.waited_s:.2f} '
            f'{call.fault or call.is_whole and call.check_answer() or ""}'
        )


def late_outcomes(outcomes):
    """Return those without a final answer at their limit if they are many."""
    ended = [
        item
        for item in outcomes
        if item.call.ended_at >= item.call.sent_from + item.call.limit_s
        and item.call.manner != stop_callers.SLOW_READER
    ]
    late = [item for item in ended if item.is_late()]
    is_many = len(late) >= LATE_CALLS and len(late) > len(ended) / 4
    return late if is_many else []
