"""Writes the example manifests to ``docs/examples/*.yaml``."""

import hashlib
import pathlib
from typing import Any

import attrs
import yaml

FOLDER = pathlib.Path('docs/examples')
ENGINES = 16
SERVICE_RUNNERS = 3
LARGE_WEIGHT = 8.0


@attrs.frozen
class Example:
    """The values in which the two examples differ."""

    name: str
    region: str
    data_centres: tuple[str, ...]
    model: str
    engine: str
    service: str
    calls: tuple[dict[str, Any], ...]
    large_workspaces: tuple[str, ...]
    small_workspaces: tuple[str, ...]
    skew: float
    cost: float


SMOTANA = Example(
    name='smotana',
    region='zapad',
    data_centres=('trnava', 'nitra', 'senec'),
    model='drafting',
    engine='drafting',
    service='warehouse',
    calls=(
        {'method': 'POST', 'path': '/bookings', 'idempotent': False},
        {'method': 'POST', 'path': '/confirmations', 'idempotent': False},
        {'method': 'GET', 'path': '/bookings/*'},
        {'method': 'GET', 'path': '/stock/*'},
    ),
    large_workspaces=('sales', 'wholesale', 'logistics'),
    small_workspaces=(
        'bakeries',
        'hotels',
        'shops',
        'drivers',
        'invoices',
        'quality',
        'faculty',
    ),
    skew=1.0,
    cost=0.1,
)
KOLIBRI = Example(
    name='kolibri',
    region='ch-west',
    data_centres=('lausanne', 'geneve', 'fribourg'),
    model='planner',
    engine='planner',
    service='booking-desk',
    calls=(
        {'method': 'POST', 'path': '/holds', 'idempotent': False},
        {'method': 'POST', 'path': '/bookings', 'idempotent': False},
        {'method': 'GET', 'path': '/holds/*'},
        {'method': 'GET', 'path': '/calendars/*'},
    ),
    large_workspaces=('planning', 'stages', 'animators'),
    small_workspaces=(
        'puppets',
        'crews',
        'sculptors',
        'cameras',
        'lights',
        'members',
        'office',
    ),
    skew=0.1,
    cost=1.0,
)


def manifest(example: Example) -> dict[str, Any]:
    """Return the manifest of an example as plain values."""
    engines = [_engine(example, number) for number in range(ENGINES)]
    services = [
        _service_runner(example, number) for number in range(SERVICE_RUNNERS)
    ]
    return {
        'version': 1,
        'name': example.name,
        'regions': [
            {
                'id': example.region,
                'data_centres': [
                    {'id': item} for item in example.data_centres
                ],
            }
        ],
        'measures': {'skew': example.skew, 'cost': example.cost},
        'models': [{'id': example.model, 'versions': ['1']}],
        'upstreams': engines + services,
        'groups': [_group(example)],
        'services': [{'id': example.service, 'calls': list(example.calls)}],
        'workspaces': [
            _workspace(example, name)
            for name in example.large_workspaces + example.small_workspaces
        ],
    }


def _engine(example: Example, number: int) -> dict[str, Any]:
    return {
        'id': f'{example.engine}-{number + 1:02}',
        'host': f'runner-{number + 1:02}',
        'data_centre': example.data_centres[0],
        'kind': 'engine',
        'offers': [{'model': example.model, 'version': '1'}],
        'checks_orders': number % 2 == 0,
        'refuses_old_fencing': number % 2 == 0,
        'concurrency': 32,
    }


def _service_runner(example: Example, number: int) -> dict[str, Any]:
    return {
        'id': f'{example.service}-{number + 1}',
        'host': f'runner-{ENGINES + number + 1:02}',
        'data_centre': example.data_centres[number],
        'kind': 'service',
        'protocol': 'http',
        'service': example.service,
        'concurrency': 64,
    }


def _group(example: Example) -> dict[str, Any]:
    ranks = [
        {
            'id': f'rank-{number:02}',
            'upstream': f'{example.engine}-{number + 1:02}',
            'slots': 18,
        }
        for number in range(ENGINES)
    ]
    return {
        'id': f'{example.model}-group',
        'model': example.model,
        'data_centre': example.data_centres[0],
        'experts': 256,
        'layers': 1,
        'ranks': ranks,
    }


def _workspace(example: Example, name: str) -> dict[str, Any]:
    is_large = name in example.large_workspaces
    key = f'{name}-example-key'
    return {
        'id': name,
        'weight': LARGE_WEIGHT if is_large else 1.0,
        'limits': {
            'requests_per_second': 400.0 if is_large else 50.0,
            'tokens_per_second': 200_000.0 if is_large else 20_000.0,
            'concurrency': 256 if is_large else 32,
        },
        'key_hashes': [hashlib.sha256(key.encode()).hexdigest()],
        'models': [example.model],
        'services': [example.service],
    }


def main() -> None:
    """Write the manifests of both examples."""
    for example in (SMOTANA, KOLIBRI):
        text = yaml.safe_dump(manifest(example), sort_keys=False)
        path = FOLDER / f'{example.name}.yaml'
        path.write_text(text, encoding='utf-8')


if __name__ == '__main__':
    main()
