"""Whether an upstream is healthy, from the probes of its agent."""

import enum

import attrs

# An upstream that is only slow to answer keeps its work.
UNANSWERED_TO_FAIL = 2


class ProbeResult(enum.Enum):
    """The result of one health check.

    UNANSWERED: no answer in time, or one that was broken off.
    FAILED: the upstream says that it is not healthy, or does not listen.
    """

    OK = 'ok'
    UNANSWERED = 'unanswered'
    FAILED = 'failed'


@attrs.define
class UpstreamHealth:
    """The health of one upstream; it is unhealthy before the first probe."""

    is_healthy: bool = False
    _unanswered: int = 0

    def record(self, result: ProbeResult) -> bool:
        """Record a health check; return whether the health has changed."""
        was_healthy = self.is_healthy
        if result is ProbeResult.UNANSWERED:
            self._unanswered += 1
            if self._unanswered >= UNANSWERED_TO_FAIL:
                self.is_healthy = False
        else:
            self._unanswered = 0
            self.is_healthy = result is ProbeResult.OK
        return self.is_healthy != was_healthy
