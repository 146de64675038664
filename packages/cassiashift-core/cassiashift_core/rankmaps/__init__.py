"""Expert map switches for engines that are controlled by orders.

An engine prepares a map, holds a pass, arms a switch and releases the pass
when it is ordered to. It doesn't ask for permission before each pass, which
the protocol of ``mapswitch`` requires.
"""

from cassiashift_core.rankmaps.choice_reports import ChoiceReports
from cassiashift_core.rankmaps.coordination import BEACON_INTERVAL_S
from cassiashift_core.rankmaps.coordination import Coordinator
from cassiashift_core.rankmaps.deltas import MapChange
from cassiashift_core.rankmaps.deltas import MapRequest
from cassiashift_core.rankmaps.demand import Demand
from cassiashift_core.rankmaps.messages import Choices
from cassiashift_core.rankmaps.messages import EngineOrder
from cassiashift_core.rankmaps.messages import GroupBeacon
from cassiashift_core.rankmaps.messages import MESSAGE_TYPES
from cassiashift_core.rankmaps.messages import RankStatus
from cassiashift_core.rankmaps.model import Armed
from cassiashift_core.rankmaps.model import ExpertLists
from cassiashift_core.rankmaps.model import first_map
from cassiashift_core.rankmaps.model import GroupShape
from cassiashift_core.rankmaps.model import Order
from cassiashift_core.rankmaps.model import OrderKind
from cassiashift_core.rankmaps.model import RankReport
from cassiashift_core.rankmaps.model import version_after
from cassiashift_core.rankmaps.planning import Plan
from cassiashift_core.rankmaps.planning import plan
from cassiashift_core.rankmaps.recovery import Recovery
from cassiashift_core.rankmaps.slowdowns import parse_slowdown
from cassiashift_core.rankmaps.slowdowns import SlowRanks
from cassiashift_core.rankmaps.superseding import MAX_VERSION_SKIP
from cassiashift_core.rankmaps.switch import Phase
from cassiashift_core.rankmaps.switch import Switch

__all__ = [
    'Armed',
    'BEACON_INTERVAL_S',
    'ChoiceReports',
    'Choices',
    'Coordinator',
    'Demand',
    'EngineOrder',
    'ExpertLists',
    'GroupBeacon',
    'GroupShape',
    'MAX_VERSION_SKIP',
    'MESSAGE_TYPES',
    'MapChange',
    'MapRequest',
    'Order',
    'OrderKind',
    'Phase',
    'Plan',
    'RankReport',
    'RankStatus',
    'Recovery',
    'SlowRanks',
    'Switch',
    'first_map',
    'parse_slowdown',
    'plan',
    'version_after',
]
