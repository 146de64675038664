"""Request and response bodies of the administration API.

The server and the operator's client share these classes.
"""

from typing import Annotated
from typing import Any

import attrs
import msgspec

from cassiashift_core import timeline
from cassiashift_net import api_paths

PREFIX = api_paths.PREFIX
MAX_REQUEST_ID_CHARACTERS = 128
MAX_REVISION = 2**63 - 1

RequestId = Annotated[
    str, msgspec.Meta(min_length=1, max_length=MAX_REQUEST_ID_CHARACTERS)
]
RevisionNumber = Annotated[int, msgspec.Meta(ge=0, le=MAX_REVISION)]


@attrs.frozen
class ApplyRequest:
    """An operator's request to replace the manifest.

    Attributes:
        request_id: a resend with the same id gets the first response.
        expected_revision: the revision that the change is based on.
        manifest: the manifest as JSON.
    """

    request_id: RequestId
    expected_revision: RevisionNumber
    manifest: msgspec.Raw


@attrs.frozen
class DrainRequest:
    """An operator's request to start or to end a drain."""

    request_id: RequestId
    target: Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
    draining: bool


@attrs.frozen
class EvacuationRequest:
    """An operator's request to start or to end an evacuation."""

    request_id: RequestId
    data_centre: Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
    evacuate: bool


@attrs.frozen
class EvacuationRow:
    """One data centre of the manifest, or one that is evacuated.

    Attributes:
        since_s: time of the start, in seconds since 1970; 0 while it is not
            evacuated.
        in_flight: requests in progress at its upstreams.
    """

    data_centre: str
    evacuated: bool
    since_s: float = 0.0
    operator: str = ''
    in_flight: int = 0


@attrs.frozen
class EvacuationList:
    """The data centres, and which of them are evacuated."""

    revision: int
    rows: tuple[EvacuationRow, ...] = ()


@attrs.frozen
class Revision:
    """The revision that a change of configuration was committed as."""

    revision: int


@attrs.frozen
class ManifestAnswer:
    """The manifest in force, or None before the first one."""

    revision: int
    manifest: Any = None


@attrs.frozen
class Status:
    """The state of the deployment as one entry sees it.

    Attributes:
        revision: the revision in force at the entry.
        confirmed: a quorum has confirmed that revision.
        hosts: the revision in force at each recently seen host.
        role: the entry's consensus role, ``none`` if it is no voter.
    """

    host: str
    data_centre: str
    revision: int
    confirmed: bool
    drains: tuple[str, ...] = ()
    evacuations: tuple[str, ...] = ()
    hosts: dict[str, int] = attrs.field(factory=dict)
    role: str = 'none'
    leader: str | None = None
    term: int | None = None
    commit_index: int | None = None


@attrs.frozen
class UpstreamRow:
    """One upstream: in the manifest (``expected``), announced, or both."""

    id: str
    expected: bool
    announced: bool
    healthy: bool
    draining: bool
    in_flight: int = 0


@attrs.frozen
class Upstreams:
    """All upstreams that an entry knows.

    Attributes:
        missing: expected but not announced.
        unexpected: announced but not in the manifest.
    """

    upstreams: tuple[UpstreamRow, ...]
    missing: tuple[str, ...] = ()
    unexpected: tuple[str, ...] = ()


@attrs.frozen
class LastPlan:
    """The leader's balancing decision on a group's last window of counts."""

    skew: float
    reason: str


@attrs.frozen
class GroupRow:
    """One group of the manifest in force.

    Attributes:
        version: version of the map in force, as the queried voter knows it;
            0 without one, and on an entry that is no voter.
        switching_to: the version of the open switch, or 0.
        reason: why the open switch was started.
        paused: an operator has paused the balancing.
        skew: hottest rank over the mean in the last window; only the
            leader knows it.
        decision: the leader's decision on the last window, as text.
    """

    id: str
    model: str
    data_centre: str
    ranks: int
    version: int = 0
    switching_to: int = 0
    reason: str = ''
    paused: bool = False
    skew: float | None = None
    decision: str = ''


@attrs.frozen
class Groups:
    """All groups of the manifest in force."""

    groups: tuple[GroupRow, ...]


@attrs.frozen
class Timeline:
    """Recorded events of several processes.

    Attributes:
        host: the entry that collected them.
        dropped: number of events that these processes have discarded.
    """

    host: str
    now_s: float
    dropped: int
    events: tuple[timeline.Event, ...] = ()


@attrs.frozen
class MapRequest:
    """Request a switch of a group's expert map.

    Attributes:
        map: the encoded ``ExpertMap``; base64 in JSON.
        reason: why, as text.
    """

    map: bytes
    reason: str = ''


@attrs.frozen
class SwitchBegun:
    """A switch was started; its outcome is not known yet."""

    group: str
