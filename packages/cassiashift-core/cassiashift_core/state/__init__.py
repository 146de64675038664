"""The replicated state of a deployment, and the commands that change it."""

from cassiashift_core.state.commands import ApplyManifest
from cassiashift_core.state.commands import CloseCall
from cassiashift_core.state.commands import CODEC
from cassiashift_core.state.commands import FindCall
from cassiashift_core.state.commands import OpenCall
from cassiashift_core.state.commands import SetDrain
from cassiashift_core.state.ledger import CallRecord
from cassiashift_core.state.ledger import CallState
from cassiashift_core.state.ledger import Ledger
from cassiashift_core.state.machine import StateMachine
from cassiashift_core.state.results import Accepted
from cassiashift_core.state.results import CallInDoubt
from cassiashift_core.state.results import CallOpened
from cassiashift_core.state.results import CallRecorded
from cassiashift_core.state.results import CallUnknown
from cassiashift_core.state.results import Conflict
from cassiashift_core.state.results import DecisionApplied
from cassiashift_core.state.results import EvacuationOrdered
from cassiashift_core.state.results import KeyReused
from cassiashift_core.state.results import Rejected
from cassiashift_core.state.shared import pause_target
from cassiashift_core.state.shared import SharedDelta
from cassiashift_core.state.shared import SharedState

__all__ = [
    'CODEC',
    'Accepted',
    'ApplyManifest',
    'CallInDoubt',
    'CallOpened',
    'CallRecord',
    'CallRecorded',
    'CallState',
    'CallUnknown',
    'CloseCall',
    'Conflict',
    'DecisionApplied',
    'EvacuationOrdered',
    'FindCall',
    'KeyReused',
    'Ledger',
    'OpenCall',
    'Rejected',
    'SetDrain',
    'SharedDelta',
    'SharedState',
    'StateMachine',
    'pause_target',
]
