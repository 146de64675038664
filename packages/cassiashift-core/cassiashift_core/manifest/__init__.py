"""The manifest, the deployment that operators declare, and its checks."""

from cassiashift_core.manifest.changes import Change
from cassiashift_core.manifest.changes import ChangeKind
from cassiashift_core.manifest.changes import changes
from cassiashift_core.manifest.checks import check
from cassiashift_core.manifest.fields import unknown_fields
from cassiashift_core.manifest.items import Delta
from cassiashift_core.manifest.items import from_items
from cassiashift_core.manifest.items import Items
from cassiashift_core.manifest.items import make_delta
from cassiashift_core.manifest.items import to_items
from cassiashift_core.manifest.model import Call
from cassiashift_core.manifest.model import DataCentre
from cassiashift_core.manifest.model import Group
from cassiashift_core.manifest.model import Limits
from cassiashift_core.manifest.model import Manifest
from cassiashift_core.manifest.model import Measures
from cassiashift_core.manifest.model import Model
from cassiashift_core.manifest.model import Offer
from cassiashift_core.manifest.model import Rank
from cassiashift_core.manifest.model import Region
from cassiashift_core.manifest.model import Role
from cassiashift_core.manifest.model import Service
from cassiashift_core.manifest.model import Upstream
from cassiashift_core.manifest.model import UpstreamKind
from cassiashift_core.manifest.model import Workspace
from cassiashift_core.manifest.problems import format_path
from cassiashift_core.manifest.problems import PathStep
from cassiashift_core.manifest.problems import Problem
from cassiashift_core.manifest.schema import schema
from cassiashift_core.manifest.view import ManifestView

__all__ = [
    'Call',
    'Change',
    'ChangeKind',
    'DataCentre',
    'Delta',
    'Group',
    'Items',
    'Limits',
    'Manifest',
    'ManifestView',
    'Measures',
    'Model',
    'Offer',
    'PathStep',
    'Problem',
    'Rank',
    'Region',
    'Role',
    'Service',
    'Upstream',
    'UpstreamKind',
    'Workspace',
    'changes',
    'check',
    'make_delta',
    'format_path',
    'from_items',
    'schema',
    'to_items',
    'unknown_fields',
]
