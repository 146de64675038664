"""Consensus: a replicated log with leases, snapshots and voter changes."""

from cassiashift_core.consensus.config import ReplicaConfig
from cassiashift_core.consensus.contact import LeaderContact
from cassiashift_core.consensus.effects import Apply
from cassiashift_core.consensus.effects import Effect
from cassiashift_core.consensus.effects import FailureReason
from cassiashift_core.consensus.effects import InstallSnapshot
from cassiashift_core.consensus.effects import Persist
from cassiashift_core.consensus.effects import ProposalAppended
from cassiashift_core.consensus.effects import ProposalFailed
from cassiashift_core.consensus.effects import ReadFailed
from cassiashift_core.consensus.effects import ReadReady
from cassiashift_core.consensus.effects import Role
from cassiashift_core.consensus.effects import RoleChanged
from cassiashift_core.consensus.effects import Send
from cassiashift_core.consensus.effects import TakeSnapshot
from cassiashift_core.consensus.events import ChangeVoters
from cassiashift_core.consensus.events import Event
from cassiashift_core.consensus.events import HandOver
from cassiashift_core.consensus.events import Propose
from cassiashift_core.consensus.events import Read
from cassiashift_core.consensus.events import Received
from cassiashift_core.consensus.events import SnapshotTaken
from cassiashift_core.consensus.events import StorageFailed
from cassiashift_core.consensus.events import Synced
from cassiashift_core.consensus.events import Tick
from cassiashift_core.consensus.messages import AppendEntries
from cassiashift_core.consensus.messages import AppendReply
from cassiashift_core.consensus.messages import IdentityRefused
from cassiashift_core.consensus.messages import Message
from cassiashift_core.consensus.messages import MESSAGE_TYPES
from cassiashift_core.consensus.messages import RestartProbe
from cassiashift_core.consensus.messages import RestartReport
from cassiashift_core.consensus.messages import SnapshotChunk
from cassiashift_core.consensus.messages import SnapshotReply
from cassiashift_core.consensus.messages import TimeoutNow
from cassiashift_core.consensus.messages import VoteReply
from cassiashift_core.consensus.messages import VoteRequest
from cassiashift_core.consensus.records import Entry
from cassiashift_core.consensus.records import EntryKind
from cassiashift_core.consensus.records import HardState
from cassiashift_core.consensus.records import SavedState
from cassiashift_core.consensus.records import Snapshot
from cassiashift_core.consensus.records import Voter
from cassiashift_core.consensus.records import VoterSet
from cassiashift_core.consensus.replica import Replica
from cassiashift_core.consensus.validation import find_problem

__all__ = [
    'AppendEntries',
    'AppendReply',
    'Apply',
    'ChangeVoters',
    'Effect',
    'Entry',
    'EntryKind',
    'Event',
    'FailureReason',
    'HandOver',
    'HardState',
    'IdentityRefused',
    'LeaderContact',
    'InstallSnapshot',
    'MESSAGE_TYPES',
    'Message',
    'Persist',
    'ProposalAppended',
    'ProposalFailed',
    'Propose',
    'Read',
    'ReadFailed',
    'ReadReady',
    'Received',
    'Replica',
    'ReplicaConfig',
    'Role',
    'RoleChanged',
    'SavedState',
    'Send',
    'Snapshot',
    'RestartProbe',
    'RestartReport',
    'SnapshotChunk',
    'SnapshotReply',
    'SnapshotTaken',
    'StorageFailed',
    'Synced',
    'TakeSnapshot',
    'Tick',
    'TimeoutNow',
    'VoteReply',
    'VoteRequest',
    'Voter',
    'VoterSet',
    'find_problem',
]
