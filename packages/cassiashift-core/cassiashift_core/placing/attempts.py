"""The sends of one request, and whether it may be sent again."""

import attrs

from cassiashift_core import routes
from cassiashift_core import verdicts

# A request that upstreams refuse without running it goes to the next one, up
# to this number of refusals.
MAX_REFUSED_SENDS = 3


@attrs.frozen
class Attempt:
    """One send that has ended."""

    upstream: str
    verdict: verdicts.Verdict


@attrs.define
class AttemptLog:
    """The ended sends of one request.

    Only a send that may have run counts towards the route's attempts.
    """

    route: routes.Route
    attempts: list[Attempt] = attrs.field(factory=list)

    @property
    def verdict(self) -> verdicts.Verdict:
        """Return the combined verdict of all sends."""
        verdict = verdicts.Verdict.NOT_RUN
        for attempt in self.attempts:
            verdict = verdict.combine(attempt.verdict)
        return verdict

    @property
    def excluded(self) -> set[str]:
        """Return the ids of the upstreams that the request may have run on.

        An upstream that refused it is not excluded: it may have a free slot
        by now.
        """
        return {
            attempt.upstream
            for attempt in self.attempts
            if attempt.verdict is not verdicts.Verdict.NOT_RUN
        }

    def record(self, upstream: str, verdict: verdicts.Verdict) -> None:
        """Record the end of a send to an upstream, by its id."""
        self.attempts.append(Attempt(upstream, verdict))

    def may_retry(self) -> bool:
        """Return whether the route and the verdicts permit another send."""
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

    def may_abandon(self) -> bool:
        """Return whether a send in progress may be ended and repeated."""
        ran = sum(
            attempt.verdict is not verdicts.Verdict.NOT_RUN
            for attempt in self.attempts
        )
        return self.route.is_idempotent and ran + 1 < self.route.attempts
