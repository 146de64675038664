"""Messages of the administration API, as both of its ends see them."""

from typing import Annotated
from typing import Any

import attrs
import msgspec

from cassiashift_core import timeline

PREFIX = '/admin/v1'
MAX_REQUEST_ID_CHARACTERS = 128
MAX_REVISION = 2**63 - 1

RequestId = Annotated[
    str, msgspec.Meta(min_length=1, max_length=MAX_REQUEST_ID_CHARACTERS)
]
RevisionNumber = Annotated[int, msgspec.Meta(ge=0, le=MAX_REVISION)]


@attrs.frozen
class ApplyRequest:
    """An operator's wish to replace the manifest.

    Attributes:
        request_id: a resend with the same id gets the first answer.
        expected_revision: the revision that the operator has seen.
        manifest: the manifest as JSON.
    """

    request_id: RequestId
    expected_revision: RevisionNumber
    manifest: msgspec.Raw


@attrs.frozen
class DrainRequest:
    """An operator's wish to drain an upstream or to end its drain."""

    request_id: RequestId
    target: Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
    draining: bool


@attrs.frozen
class Revision:
    """The revision that a change of configuration became."""

    revision: int


@attrs.frozen
class ManifestAnswer:
    """The manifest in force, or None before the first one."""

    revision: int
    manifest: Any = None


@attrs.frozen
class Status:
    """What one entry knows of the deployment.

    Attributes:
        revision: the revision in force at the entry.
        confirmed: a quorum has vouched for that revision.
        hosts: the revision in force at each host that was heard of lately.
        role: the entry's part in the consensus, ``none`` without a vote.
    """

    host: str
    data_centre: str
    revision: int
    confirmed: bool
    drains: tuple[str, ...] = ()
    hosts: dict[str, int] = attrs.field(factory=dict)
    role: str = 'none'
    leader: str | None = None
    term: int | None = None
    commit_index: int | None = None


@attrs.frozen
class UpstreamRow:
    """One upstream, expected by the manifest or announced or both."""

    id: str
    expected: bool
    announced: bool
    healthy: bool
    draining: bool
    in_flight: int = 0


@attrs.frozen
class Upstreams:
    """All upstreams that an entry knows."""

    upstreams: tuple[UpstreamRow, ...]
    missing: tuple[str, ...] = ()
    unexpected: tuple[str, ...] = ()


@attrs.frozen
class LastPlan:
    """What the leader made of a group's last window of counts."""

    skew: float
    reason: str


@attrs.frozen
class GroupRow:
    """One group of the manifest in force.

    Attributes:
        version: the map in force as the asked voter knows it; 0 for none,
            and on an entry that does not vote.
        switching_to: the version of the open switch, or 0.
        reason: why the open switch was begun.
        paused: an operator has paused the balancing.
        skew: hottest rank over the mean in the last window; only the
            leader knows it.
        decision: what the leader made of the last window, in words.
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
    """The events that some processes still hold.

    Attributes:
        host: the entry that gathered them.
        dropped: events that these processes no longer hold.
    """

    host: str
    now_s: float
    dropped: int
    events: tuple[timeline.Event, ...] = ()


@attrs.frozen
class MapRequest:
    """Ask for a switch of a group's expert map.

    Attributes:
        map: the encoded ``ExpertMap``; base64 in JSON.
        reason: why, in words.
    """

    map: bytes
    reason: str = ''


@attrs.frozen
class SwitchBegun:
    """A switch was begun; its outcome is not known yet."""

    group: str
