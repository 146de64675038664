"""Tables of entries and upstreams that every entry of a region keeps."""

from cassiashift_core.fleet.bootstrap import BootstrapAction
from cassiashift_core.fleet.bootstrap import decide_bootstrap
from cassiashift_core.fleet.capacity import CapacityEstimator
from cassiashift_core.fleet.capacity import Supply
from cassiashift_core.fleet.capacity import Usage
from cassiashift_core.fleet.coldness import ColdTerms
from cassiashift_core.fleet.coldness import HEARD_S
from cassiashift_core.fleet.coldness import parse_cold_s
from cassiashift_core.fleet.conditions import Condition
from cassiashift_core.fleet.confirmation import LogConfirmation
from cassiashift_core.fleet.documents import Document
from cassiashift_core.fleet.documents import Standing
from cassiashift_core.fleet.entries import EntryTable
from cassiashift_core.fleet.entries import KnownEntry
from cassiashift_core.fleet.gossip import is_relay
from cassiashift_core.fleet.gossip import renewal_targets
from cassiashift_core.fleet.gossip import sends_frequent_hellos
from cassiashift_core.fleet.limits import parse_limit
from cassiashift_core.fleet.messages import ColdRecord
from cassiashift_core.fleet.messages import DocumentPull
from cassiashift_core.fleet.messages import DocumentPush
from cassiashift_core.fleet.messages import EntryRecord
from cassiashift_core.fleet.messages import Hello
from cassiashift_core.fleet.messages import LimitRecord
from cassiashift_core.fleet.messages import LONGEST_PATIENCE_S
from cassiashift_core.fleet.messages import Permit
from cassiashift_core.fleet.messages import PermitRequest
from cassiashift_core.fleet.messages import RankSlowdowns
from cassiashift_core.fleet.messages import SharedSecret
from cassiashift_core.fleet.messages import Sighting
from cassiashift_core.fleet.messages import SlowRecord
from cassiashift_core.fleet.messages import TableDump
from cassiashift_core.fleet.messages import TablePull
from cassiashift_core.fleet.messages import Upstream
from cassiashift_core.fleet.messages import UpstreamNews
from cassiashift_core.fleet.messages import UpstreamState
from cassiashift_core.fleet.permits import choose_issuer
from cassiashift_core.fleet.permits import ColdShare
from cassiashift_core.fleet.permits import count_disks
from cassiashift_core.fleet.permits import issued_share
from cassiashift_core.fleet.permits import Issuer
from cassiashift_core.fleet.permits import PERMIT_VALID_S
from cassiashift_core.fleet.permits import rate_to_issue
from cassiashift_core.fleet.rates import RequestRate
from cassiashift_core.fleet.steering import choose_entries
from cassiashift_core.fleet.steering import Steering
from cassiashift_core.fleet.upstreams import short_id
from cassiashift_core.fleet.upstreams import UpstreamTable
from cassiashift_core.fleet.voters import next_voter_change

__all__ = [
    'BootstrapAction',
    'ColdRecord',
    'ColdShare',
    'ColdTerms',
    'CapacityEstimator',
    'Condition',
    'Document',
    'DocumentPull',
    'DocumentPush',
    'EntryRecord',
    'EntryTable',
    'HEARD_S',
    'Hello',
    'Issuer',
    'KnownEntry',
    'LONGEST_PATIENCE_S',
    'LimitRecord',
    'LogConfirmation',
    'PERMIT_VALID_S',
    'Permit',
    'PermitRequest',
    'RankSlowdowns',
    'RequestRate',
    'SharedSecret',
    'Sighting',
    'SlowRecord',
    'Standing',
    'Steering',
    'Supply',
    'TableDump',
    'TablePull',
    'Upstream',
    'UpstreamNews',
    'UpstreamState',
    'UpstreamTable',
    'Usage',
    'choose_entries',
    'choose_issuer',
    'count_disks',
    'decide_bootstrap',
    'is_relay',
    'issued_share',
    'next_voter_change',
    'parse_cold_s',
    'parse_limit',
    'rate_to_issue',
    'renewal_targets',
    'sends_frequent_hellos',
    'short_id',
]
