"""Admission control: which calls start, wait or are refused."""

from cassiashift_core.admission.closing import Closing
from cassiashift_core.admission.demand import DemandMeter
from cassiashift_core.admission.gate import AdmissionGate
from cassiashift_core.admission.model import AdmissionConfig
from cassiashift_core.admission.model import AdmissionRequest
from cassiashift_core.admission.model import Admitted
from cassiashift_core.admission.model import Queued
from cassiashift_core.admission.model import Refused
from cassiashift_core.admission.model import WorkspaceLimits
from cassiashift_core.admission.promises import pack_promises
from cassiashift_core.admission.promises import Promise
from cassiashift_core.admission.promises import PromiseTable
from cassiashift_core.admission.promises import ROW_BYTES as PROMISE_BYTES
from cassiashift_core.admission.promises import short_request_id
from cassiashift_core.admission.promises import short_service_id
from cassiashift_core.admission.promises import unpack_promises
from cassiashift_core.admission.service_gate import ServiceGate
from cassiashift_core.admission.shares import DemandSummary
from cassiashift_core.admission.shares import LEASE_S
from cassiashift_core.admission.shares import ShareGranter
from cassiashift_core.admission.shares import ShareHolder
from cassiashift_core.admission.shares import ShareLease
from cassiashift_core.admission.slots import SlotTable
from cassiashift_core.admission.urgency_queue import QueuedRequest

__all__ = [
    'AdmissionGate',
    'AdmissionConfig',
    'AdmissionRequest',
    'Admitted',
    'Closing',
    'LEASE_S',
    'DemandMeter',
    'DemandSummary',
    'PROMISE_BYTES',
    'Promise',
    'PromiseTable',
    'Queued',
    'QueuedRequest',
    'Refused',
    'ServiceGate',
    'ShareGranter',
    'ShareHolder',
    'ShareLease',
    'SlotTable',
    'WorkspaceLimits',
    'pack_promises',
    'short_request_id',
    'short_service_id',
    'unpack_promises',
]
