"""Failure detection of entries and agents, and data centre summaries.

Entries and agents of one data centre know each other by rows of a membership
table; other data centres are known by summaries only.
"""

from cassiashift_core.membership.announcer import Announcer
from cassiashift_core.membership.events import Changed
from cassiashift_core.membership.events import Leaving
from cassiashift_core.membership.events import LoadChanged
from cassiashift_core.membership.events import MembershipConfig
from cassiashift_core.membership.events import Received
from cassiashift_core.membership.events import Send
from cassiashift_core.membership.events import Tick
from cassiashift_core.membership.events import UpstreamsChanged
from cassiashift_core.membership.health import TICK_INTERVAL_S
from cassiashift_core.membership.member import Membership
from cassiashift_core.membership.messages import MESSAGE_TYPES
from cassiashift_core.membership.records import Announcement
from cassiashift_core.membership.records import Capacity
from cassiashift_core.membership.records import Contact
from cassiashift_core.membership.records import Kind
from cassiashift_core.membership.records import Record
from cassiashift_core.membership.records import Status
from cassiashift_core.membership.records import Summary
from cassiashift_core.membership.upstream_health import ProbeResult
from cassiashift_core.membership.upstream_health import UpstreamHealth

__all__ = [
    'MESSAGE_TYPES',
    'TICK_INTERVAL_S',
    'Announcement',
    'Announcer',
    'Capacity',
    'Changed',
    'Contact',
    'Kind',
    'Leaving',
    'LoadChanged',
    'Membership',
    'MembershipConfig',
    'ProbeResult',
    'Received',
    'Record',
    'Send',
    'Status',
    'Summary',
    'Tick',
    'UpstreamHealth',
    'UpstreamsChanged',
]
