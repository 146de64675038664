"""Which requests an entry still starts during its planned stop."""

import attrs


@attrs.frozen
class Closing:
    """A planned stop; requests that may outlast it are refused.

    Other entries can take these at once. An entry that took them would have
    to break off what may not be repeated, or a stream that has begun.

    Attributes:
        ends_at: monotonic time of the last answer.
        over_at: monotonic time at which the process has ended.
    """

    ends_at: float
    over_at: float

    def may_start(self, answer_by: float) -> bool:
        """Return whether a request is over by the last answer in any case.

        The time that requests usually take is no bound: some take longer.

        Args:
            answer_by: time of its deadline or its route's timeout.
        """
        return answer_by <= self.ends_at

    def retry_after_s(self, is_other_ready: bool, now: float) -> float:
        """Return the seconds after which a refused caller may return.

        Args:
            is_other_ready: another entry takes requests now.
        """
        return 0.0 if is_other_ready else max(0.0, self.over_at - now)
