"""Which requests an entry still starts during its planned stop."""

import attrs

from cassiashift_core import costs

# Standard deviations of the logarithm by which the time of a request may
# exceed its median; one of some forty requests takes longer.
DEVIATIONS = 2.0


@attrs.frozen
class Closing:
    """A planned stop; requests that can't end before it are refused.

    Other entries can take these at once. An entry that took them would have
    to break off what may not be repeated.

    Attributes:
        ends_at: monotonic time of the last answer.
    """

    ends_at: float

    def may_start(
        self, time_s: costs.Estimate, answer_by: float, now: float
    ) -> bool:
        """Return whether a request that starts now is answered before it.

        Args:
            time_s: time from its start to the end of its answer.
            answer_by: time at which it gets a final answer in any case.
        """
        if answer_by <= self.ends_at:
            return True
        return now + time_s.upper(DEVIATIONS) <= self.ends_at
