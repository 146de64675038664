"""Events and effects of a drain."""

import attrs


@attrs.frozen
class DrainConfig:
    """Settings of a drain.

    Attributes:
        directory_margin_s: time until every directory has received the
            drain; answers until then may still name the entry.
        max_ttl_s: longest time to live of a directory's answer.
        quiet_s: time without a call in progress before the end, so that
            a call whose first bytes are in transit is not broken.
    """

    directory_margin_s: float = 4.0
    max_ttl_s: float = 12.0
    quiet_s: float = 0.2


@attrs.frozen
class StopRequested:
    """The entry's process was asked to stop, or the upstream to drain."""


@attrs.frozen
class Resume:
    """The drain of an upstream is cancelled; an entry ignores this."""


@attrs.frozen
class InFlightChanged:
    """The number of calls in progress or waiting is now ``count``."""

    count: int


@attrs.frozen
class Tick:
    """Time has passed."""


DrainEvent = StopRequested | Resume | InFlightChanged | Tick


@attrs.frozen
class LeaveDirectory:
    """Request from every directory that it no longer names this entry."""


@attrs.frozen
class CloseIdleConnections:
    """Close idle connections; send ``Connection: close`` on the others."""


@attrs.frozen
class RefuseNewCalls:
    """Refuse calls that arrive from now on as ``NOT_RUN``."""


@attrs.frozen
class End:
    """No call is in progress: the process may end."""


DrainEffect = LeaveDirectory | CloseIdleConnections | RefuseNewCalls | End
