"""Two-phase switch of a group's expert map, without stopping the engines.

All ranks run each step on the same map: a rank stages the weights, arms by
holding a later step, and starts that step when it knows the outcome.
"""

from cassiashift_core.mapswitch.coordinator import Coordinator
from cassiashift_core.mapswitch.decisions import Decision
from cassiashift_core.mapswitch.decisions import DecisionKind
from cassiashift_core.mapswitch.decisions import GroupDecisions
from cassiashift_core.mapswitch.events import ActivateMap
from cassiashift_core.mapswitch.events import BarrierPassed
from cassiashift_core.mapswitch.events import DecisionCommitted
from cassiashift_core.mapswitch.events import DropWeights
from cassiashift_core.mapswitch.events import LeadershipGained
from cassiashift_core.mapswitch.events import LeadershipLost
from cassiashift_core.mapswitch.events import LoadWeights
from cassiashift_core.mapswitch.events import ProposeDecision
from cassiashift_core.mapswitch.events import RankGone
from cassiashift_core.mapswitch.events import ReadBarrier
from cassiashift_core.mapswitch.events import Received
from cassiashift_core.mapswitch.events import RollbackRequested
from cassiashift_core.mapswitch.events import SendToCoordinator
from cassiashift_core.mapswitch.events import SendToRank
from cassiashift_core.mapswitch.events import SwitchFinished
from cassiashift_core.mapswitch.events import SwitchRefused
from cassiashift_core.mapswitch.events import SwitchRequested
from cassiashift_core.mapswitch.events import Tick
from cassiashift_core.mapswitch.events import WeightsFailed
from cassiashift_core.mapswitch.events import WeightsLoaded
from cassiashift_core.mapswitch.messages import Acknowledged
from cassiashift_core.mapswitch.messages import Answer
from cassiashift_core.mapswitch.messages import Arm
from cassiashift_core.mapswitch.messages import Armed
from cassiashift_core.mapswitch.messages import ArmRefused
from cassiashift_core.mapswitch.messages import Ask
from cassiashift_core.mapswitch.messages import Decided
from cassiashift_core.mapswitch.messages import Fence
from cassiashift_core.mapswitch.messages import MapEntry
from cassiashift_core.mapswitch.messages import Order
from cassiashift_core.mapswitch.messages import ORDER_TYPES
from cassiashift_core.mapswitch.messages import OrderRefused
from cassiashift_core.mapswitch.messages import REPORT_TYPES
from cassiashift_core.mapswitch.messages import Stage
from cassiashift_core.mapswitch.messages import Staged
from cassiashift_core.mapswitch.messages import StageFailed
from cassiashift_core.mapswitch.messages import Standing
from cassiashift_core.mapswitch.rank import RankSwitch
from cassiashift_core.mapswitch.settings import CoordinatorConfig
from cassiashift_core.mapswitch.settings import RankConfig
from cassiashift_core.mapswitch.steps import Hold
from cassiashift_core.mapswitch.steps import Proceed

__all__ = [
    'Acknowledged',
    'ActivateMap',
    'Answer',
    'Arm',
    'ArmRefused',
    'Armed',
    'Ask',
    'BarrierPassed',
    'Coordinator',
    'CoordinatorConfig',
    'Decided',
    'Decision',
    'DecisionCommitted',
    'DecisionKind',
    'DropWeights',
    'Fence',
    'GroupDecisions',
    'Hold',
    'LeadershipGained',
    'LeadershipLost',
    'LoadWeights',
    'MapEntry',
    'ORDER_TYPES',
    'Order',
    'OrderRefused',
    'Proceed',
    'ProposeDecision',
    'REPORT_TYPES',
    'RankConfig',
    'RankGone',
    'RankSwitch',
    'ReadBarrier',
    'Received',
    'RollbackRequested',
    'SendToCoordinator',
    'SendToRank',
    'Stage',
    'StageFailed',
    'Staged',
    'Standing',
    'SwitchFinished',
    'SwitchRefused',
    'SwitchRequested',
    'Tick',
    'WeightsFailed',
    'WeightsLoaded',
]
