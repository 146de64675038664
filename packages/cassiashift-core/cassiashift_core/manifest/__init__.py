"""The manifest: what operators expect, as data and checks."""

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

__all__ = [
    'Call',
    'DataCentre',
    'Group',
    'Limits',
    'Manifest',
    'Measures',
    'Model',
    'Offer',
    'Rank',
    'Region',
    'Role',
    'Service',
    'Upstream',
    'UpstreamKind',
    'Workspace',
]
