"""Events and effects of a drain."""

import attrs


@attrs.frozen
class DrainConfig:
    """Settings of a drain.

    Attributes:
        directory_margin_s: time that the news of the drain needs to reach
            every directory; answers given meanwhile still count.
        max_ttl_s: longest time to live of a directory's answer.
        quiet_s: time without a call in progress before the end, so that
            a call whose first bytes are on the way is not cut off.
    """

    directory_margin_s: float = 4.0
    max_ttl_s: float = 12.0
    quiet_s: float = 0.2


@attrs.frozen
class StopRequested:
    """The process is asked to stop, or the upstream to leave."""


@attrs.frozen
class Resume:
    """The leave is called off."""


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
    """Tell every directory to name this entry no more."""


@attrs.frozen
class CloseIdleConnections:
    """Close idle connections; send ``Connection: close`` on the others."""


@attrs.frozen
class RefuseNewCalls:
    """Refuse calls that arrive from now on as ``NOT_RUN``."""


@attrs.frozen
class End:
    """Nothing is in progress: the process may end."""


DrainEffect = LeaveDirectory | CloseIdleConnections | RefuseNewCalls | End
