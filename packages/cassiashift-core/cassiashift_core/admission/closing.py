"""Which requests an entry still starts during its planned stop."""

import attrs

from cassiashift_core import costs

# Standard deviations of the logarithm by which the time of a request may
# exceed its median; one of some forty requests takes longer.
DEVIATIONS = 2.0


@attrs.frozen
class Closing:
    """A planned stop; requests that may outlast it are refused.

    Other entries can take these at once. An entry that took them would have
    to break off what may not be repeated, or a stream that has begun.

    Attributes:
        ends_at: monotonic time of the last answer.
        over_at: monotonic time at which the process has ended.
        known_until: monotonic time until which callers may use an answer of
            the directory that names this entry.
    """

    ends_at: float
    over_at: float
    known_until: float

    def is_bounded(self, answer_by: float) -> bool:
        """Return whether a request is over by the last answer in any case.

        The time that requests usually take is no bound: some take longer.

        Args:
            answer_by: time of its deadline or its route's timeout.
        """
        return answer_by <= self.ends_at

    def may_start_alone(self, time_s: costs.Estimate, now: float) -> bool:
        """Return whether to start an unbounded request no other can take.

        Its caller would have to wait until an entry is back. Once callers
        know that this entry leaves, it takes no more of them, so that it is
        back soon.

        Args:
            time_s: time from its start to the end of its answer.
        """
        is_usual = now + time_s.upper(DEVIATIONS) <= self.ends_at
        return now <= self.known_until and is_usual

    def retry_after_s(self, is_other_ready: bool, now: float) -> float:
        """Return the seconds after which a refused caller may return.

        Args:
            is_other_ready: another entry takes requests now.
        """
        return 0.0 if is_other_ready else max(0.0, self.over_at - now)
