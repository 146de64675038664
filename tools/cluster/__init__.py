"""Runs a deployment as processes on loopback, for demos and tests."""

from tools.cluster.addresses import Addresses
from tools.cluster.caller import Caller
from tools.cluster.caller import Reply
from tools.cluster.operator import Operator
from tools.cluster.processes import Cluster
from tools.cluster.processes import Placement

__all__ = [
    'Addresses',
    'Caller',
    'Cluster',
    'Operator',
    'Placement',
    'Reply',
]
