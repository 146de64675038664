"""The remaining work of the requests that this entry has in flight."""

import attrs

from cassiashift_core import costs
from cassiashift_core import fleet
from cassiashift_core import routes
from cassiashift_daemon.direct import calls


@attrs.define(eq=False)
class _Send:
    """One send in progress, and what its condition counts for it.

    Attributes:
        in_flight: requests at the upstream when it was sent, itself included.
    """

    engine: routes.Engine
    condition: fleet.Condition
    began_at: float
    in_flight: int
    work_ms: float = 0.0
    tokens: int = 0
    prompt_ms: float = 0.0

    def count(self, work_ms: float, tokens: int, prompt_ms: float) -> None:
        """Replace what the condition counts for it."""
        self.condition.add_work(
            work_ms - self.work_ms,
            tokens - self.tokens,
            prompt_ms - self.prompt_ms,
        )
        self.work_ms, self.tokens = work_ms, tokens
        self.prompt_ms = prompt_ms


@attrs.define(eq=False)
class RunningWork:
    """Keeps the work of the conditions current while requests run.

    Only sends to engines that state their timings are included.
    """

    _sends: dict[calls.Call, _Send] = attrs.field(factory=dict)

    def begin(
        self,
        call: calls.Call,
        engine: routes.Engine | None,
        condition: fleet.Condition,
        now: float,
    ) -> None:
        """Count a send that begins now."""
        if not costs.has_timings(engine):
            return
        send = _Send(engine, condition, now, condition.all_in_flight)
        self._sends[call] = send
        self._update(call, send, 0, now)

    def end(self, call: calls.Call) -> None:
        """Stop counting a send that has ended."""
        send = self._sends.pop(call, None)
        if send is not None:
            send.count(0.0, 0, 0.0)

    def refresh(self, now: float) -> None:
        """Update all sends by the events that were received."""
        for call, send in self._sends.items():
            self._update(call, send, call.send_events, now)

    def output_tokens(self, call: calls.Call) -> int:
        """Return the output that a send has received; 0 if not known.

        Of a stream that was resumed, only a part came from its last send.
        """
        send = self._sends.get(call)
        if send is None or len(call.log.attempts) > 1:
            return 0
        return call.send_events * send.engine.stride

    def expected_s(self, call: calls.Call, output_tokens: int) -> float:
        """Return the time that a send of a known size should have taken.

        It is 0 if it is not known.
        """
        send = self._sends.get(call)
        if send is None or not output_tokens:
            return 0.0
        return costs.remaining_s(
            send.engine,
            call.cost.prompt_s,
            output_tokens,
            send.in_flight,
            send.tokens,
        )

    def _update(
        self, call: calls.Call, send: _Send, events: int, now: float
    ) -> None:
        cost, received = call.cost, events * send.engine.stride
        prompt_s = 0.0
        if not events:
            prompt_s = max(0.0, cost.prompt_s - (now - send.began_at))
        work_s = costs.remaining_s(
            send.engine,
            prompt_s,
            cost.output_tokens.remaining(received),
            send.condition.all_in_flight,
            send.condition.tokens + send.condition.others_tokens,
        )
        tokens = max(cost.tokens.mean, cost.prompt_tokens.mean + received)
        send.count(work_s * 1000, round(tokens), prompt_s * 1000)
