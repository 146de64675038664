"""What is known of one request's sends, and what may follow them."""

import attrs

from cassiashift_core import routes
from cassiashift_core import verdicts

# Upstreams that refuse without running a request are asked in turn, but not
# without end.
MAX_REFUSED_SENDS = 3


@attrs.frozen
class Attempt:
    """One send that is over."""

    upstream: str
    verdict: verdicts.Verdict


@attrs.define
class AttemptLog:
    """The sends of one request.

    Only a send that may have run counts towards the route's attempts.
    """

    route: routes.Route
    attempts: list[Attempt] = attrs.field(factory=list)

    @property
    def verdict(self) -> verdicts.Verdict:
        """Return whether the request may have run at all."""
        verdict = verdicts.Verdict.NOT_RUN
        for attempt in self.attempts:
            verdict = verdict.combine(attempt.verdict)
        return verdict

    @property
    def excluded(self) -> set[str]:
        """Return the upstreams that the request may have run on.

        One that refused it may have room by now.
        """
        return {
            attempt.upstream
            for attempt in self.attempts
            if attempt.verdict is not verdicts.Verdict.NOT_RUN
        }

    def ended(self, upstream: str, verdict: verdicts.Verdict) -> None:
        """Note the end of a send."""
        self.attempts.append(Attempt(upstream, verdict))

    def may_send_again(self) -> bool:
        """Tell whether the request may go to another upstream."""
        refused = [
            attempt
            for attempt in self.attempts
            if attempt.verdict is verdicts.Verdict.NOT_RUN
        ]
        if len(refused) >= MAX_REFUSED_SENDS:
            return False
        ran = len(self.attempts) - len(refused)
        if ran and not self.route.is_idempotent:
            return False
        return ran < self.route.attempts
