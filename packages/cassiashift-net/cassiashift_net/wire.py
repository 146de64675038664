"""The codec of all messages on links between the system's processes.

No process uses all of them: each loads a module that defines messages when
it first sends or receives one of these, unless it has loaded it before.
"""

from collections.abc import Callable
from collections.abc import Mapping
import types

from cassiashift_core import codec

CODEC = codec.Codec()

# Tag and class name of messages whose tags have no prefix, by module.
_CLASS_NAMES = {
    'cassiashift_core.fleet': {
        'hello': 'Hello',
        'upstreams': 'UpstreamNews',
        'tables': 'TablePull',
        'tabled': 'TableDump',
        'document': 'DocumentPull',
        'documented': 'DocumentPush',
        'permit': 'PermitRequest',
        'permitted': 'Permit',
        'slowdowns': 'RankSlowdowns',
    },
    'cassiashift_core.workload': {'work': 'WorkDigest'},
    'cassiashift_net.proposal_messages': {
        'propose': 'Proposal',
        'proposed': 'ProposalAnswer',
    },
    'cassiashift_net.messages': {
        'start': 'CallStart',
        'head': 'CallHead',
        'data': 'CallData',
        'end': 'CallEnd',
        'failed': 'CallFailed',
        'credit': 'CallCredit',
        'cancel': 'CallCancel',
        'fence': 'Fence',
        'fenced': 'Fenced',
        'survey': 'Survey',
        'surveyed': 'SurveyAnswer',
        'pool': 'PoolQuery',
        'lent': 'PoolAnswer',
        'events': 'EventsQuery',
        'recorded': 'EventsAnswer',
        'demand': 'DemandReport',
        'grants': 'ShareGrants',
        'order': 'RankOrder',
        'counts': 'ExpertCounts',
    },
}
# Prefix of the tags, package, and the name of its collection of classes.
_PACKAGES = (
    ('member', 'cassiashift_core.membership', 'MESSAGE_TYPES'),
    ('spread', 'cassiashift_core.spread', 'MESSAGE_TYPES'),
    ('switch', 'cassiashift_core.mapswitch', 'REPORT_TYPES'),
    ('rank', 'cassiashift_core.rankmaps', 'MESSAGE_TYPES'),
    ('evacuation', 'cassiashift_core.evacuation', 'MESSAGE_TYPES'),
    ('poison', 'cassiashift_core.poison', 'MESSAGE_TYPES'),
)


def _one_class(
    tag: str, name: str
) -> Callable[[types.ModuleType], Mapping[str, type]]:
    return lambda module: {tag: getattr(module, name)}


def _classes_in(
    prefix: str, collection: str
) -> Callable[[types.ModuleType], Mapping[str, type]]:
    return lambda module: {
        f'{prefix}.{cls.__name__}': cls for cls in getattr(module, collection)
    }


for _module, _names in _CLASS_NAMES.items():
    for _tag, _name in _names.items():
        CODEC.register_later(_tag, _module, _one_class(_tag, _name))
for _prefix, _module, _collection in _PACKAGES:
    CODEC.register_later(_prefix, _module, _classes_in(_prefix, _collection))
CODEC.register_later(
    'log',
    'cassiashift_core.consensus',
    lambda module: {
        f'log.{name}': cls for name, cls in module.MESSAGE_TYPES.items()
    },
)
