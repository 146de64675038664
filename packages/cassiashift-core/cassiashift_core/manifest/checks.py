"""Checks a manifest for duplicates, missing references and contradictions.

Types, ranges and unknown fields are left to the JSON schema.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import functools
import itertools

import attrs

from cassiashift_core.manifest import model
from cassiashift_core.manifest import problems

Problem = problems.Problem


@attrs.frozen
class _Definitions:
    """The items that other items of the manifest may refer to."""

    data_centres: frozenset[str]
    models: dict[str, model.Model]
    services: frozenset[str]
    upstreams: dict[str, model.Upstream]

    @classmethod
    def from_manifest(cls, manifest: model.Manifest) -> '_Definitions':
        """Return the items that a manifest defines."""
        return cls(
            frozenset(
                centre.id
                for region in manifest.regions
                for centre in region.data_centres
            ),
            {item.id: item for item in manifest.models},
            frozenset(item.id for item in manifest.services),
            {item.id: item for item in manifest.upstreams},
        )


def check(manifest: model.Manifest) -> list[Problem]:
    """Return every problem of a manifest, section by section.

    The list is empty for a valid manifest.
    """
    defined = _Definitions.from_manifest(manifest)
    return list(
        itertools.chain(
            _check_regions(manifest),
            _check_items('models', manifest.models, _check_model),
            _check_items(
                'upstreams',
                manifest.upstreams,
                functools.partial(_check_upstream, defined),
            ),
            _check_groups(manifest, defined),
            _check_items('services', manifest.services, _check_service),
            _check_workspaces(manifest, defined),
        )
    )


def _check_items(
    name: str,
    items: tuple,
    check_one: Callable[[str, model.Model], Iterator[Problem]],
) -> Iterator[Problem]:
    yield from _check_duplicates(name, (item.id for item in items))
    for index, item in enumerate(items):
        yield from check_one(f'{name}[{index}]', item)


def _check_duplicates(
    name: str, values: Iterable[str], suffix: str = '.id'
) -> Iterator[Problem]:
    first_index: dict[str, int] = {}
    for index, value in enumerate(values):
        if value in first_index:
            yield Problem(
                f'{name}[{index}]{suffix}',
                f'{value!r} is already used by {name}[{first_index[value]}]',
            )
        first_index.setdefault(value, index)


def _missing_reference(path: str, kind: str, value: str) -> Problem:
    return Problem(path, f'there is no {kind} {value!r} in the manifest')


def _check_regions(manifest: model.Manifest) -> Iterator[Problem]:
    yield from _check_duplicates(
        'regions', (item.id for item in manifest.regions)
    )
    used_by: dict[str, str] = {}
    for number, region in enumerate(manifest.regions):
        if not region.data_centres:
            yield Problem(
                f'regions[{number}]', 'the region has no data centres'
            )
        for index, centre in enumerate(region.data_centres):
            path = f'regions[{number}].data_centres[{index}]'
            if centre.id in used_by:
                yield Problem(
                    f'{path}.id',
                    f'{centre.id!r} is already used by {used_by[centre.id]}',
                )
            used_by.setdefault(centre.id, path)


def _check_model(path: str, item: model.Model) -> Iterator[Problem]:
    yield from _check_duplicates(f'{path}.versions', item.versions, '')
    yield from _check_duplicates(f'{path}.adapters', item.adapters, '')
    if not item.versions:
        yield Problem(path, 'the model has no versions')


def _check_upstream(
    defined: _Definitions, path: str, item: model.Upstream
) -> Iterator[Problem]:
    if item.data_centre not in defined.data_centres:
        yield _missing_reference(
            f'{path}.data_centre', 'data centre', item.data_centre
        )
    if item.kind is model.UpstreamKind.ENGINE:
        yield from _check_engine(defined, path, item)
    else:
        yield from _check_service_upstream(defined, path, item)


def _check_engine(
    defined: _Definitions, path: str, item: model.Upstream
) -> Iterator[Problem]:
    if item.service is not None:
        yield Problem(f'{path}.service', 'an engine must not name a service')
    if not item.offers:
        yield Problem(f'{path}.offers', 'an engine needs at least one offer')
    for index, offer in enumerate(item.offers):
        yield from _check_offer(defined, f'{path}.offers[{index}]', offer)


def _check_service_upstream(
    defined: _Definitions, path: str, item: model.Upstream
) -> Iterator[Problem]:
    if item.offers:
        yield Problem(f'{path}.offers', 'only an engine may have offers')
    if item.service is None:
        yield Problem(f'{path}.service', 'the name of the service is missing')
    elif item.service not in defined.services:
        yield _missing_reference(f'{path}.service', 'service', item.service)


def _check_offer(
    defined: _Definitions, path: str, offer: model.Offer
) -> Iterator[Problem]:
    offered = defined.models.get(offer.model)
    if offered is None:
        yield _missing_reference(f'{path}.model', 'model', offer.model)
        return
    if offer.version not in offered.versions:
        yield Problem(
            f'{path}.version',
            f'model {offer.model!r} has no version {offer.version!r}',
        )
    for index, adapter in enumerate(offer.adapters):
        if adapter not in offered.adapters:
            yield Problem(
                f'{path}.adapters[{index}]',
                f'model {offer.model!r} has no adapter {adapter!r}',
            )


def _check_groups(
    manifest: model.Manifest, defined: _Definitions
) -> Iterator[Problem]:
    yield from _check_duplicates(
        'groups', (item.id for item in manifest.groups)
    )
    used_by: dict[str, str] = {}
    for number, group in enumerate(manifest.groups):
        path = f'groups[{number}]'
        yield from _check_group(defined, path, group)
        for index, rank in enumerate(group.ranks):
            rank_path = f'{path}.ranks[{index}]'
            yield from _check_rank(defined, rank_path, group, rank)
            if rank.upstream in used_by:
                yield Problem(
                    f'{rank_path}.upstream',
                    f'{rank.upstream!r} is already used by'
                    f' {used_by[rank.upstream]}',
                )
            used_by.setdefault(rank.upstream, rank_path)


def _check_group(
    defined: _Definitions, path: str, group: model.Group
) -> Iterator[Problem]:
    if group.model not in defined.models:
        yield _missing_reference(f'{path}.model', 'model', group.model)
    if group.data_centre not in defined.data_centres:
        yield _missing_reference(
            f'{path}.data_centre', 'data centre', group.data_centre
        )
    yield from _check_duplicates(
        f'{path}.ranks', (rank.id for rank in group.ranks)
    )
    if not group.ranks:
        yield Problem(f'{path}.ranks', 'the group has no ranks')
        return
    slots = sum(rank.slots for rank in group.ranks)
    if slots < group.experts:
        yield Problem(
            f'{path}.ranks',
            f'{slots} slots cannot hold {group.experts} experts',
        )


def _check_rank(
    defined: _Definitions, path: str, group: model.Group, rank: model.Rank
) -> Iterator[Problem]:
    upstream = defined.upstreams.get(rank.upstream)
    if upstream is None:
        yield _missing_reference(f'{path}.upstream', 'upstream', rank.upstream)
        return
    if upstream.kind is not model.UpstreamKind.ENGINE:
        yield Problem(
            f'{path}.upstream', f'{rank.upstream!r} is not an engine'
        )
        return
    if upstream.data_centre != group.data_centre:
        yield Problem(
            f'{path}.upstream',
            f'{rank.upstream!r} is in data centre {upstream.data_centre!r},'
            f' the group is in {group.data_centre!r}',
        )
    if all(offer.model != group.model for offer in upstream.offers):
        yield Problem(
            f'{path}.upstream',
            f'{rank.upstream!r} does not offer model {group.model!r}',
        )


def _check_service(path: str, item: model.Service) -> Iterator[Problem]:
    names = [f'{call.method} {call.path}' for call in item.calls]
    yield from _check_duplicates(f'{path}.calls', names, '')
    if not item.calls:
        yield Problem(f'{path}.calls', 'the service has no calls')
    for index, call in enumerate(item.calls):
        if '*' in call.path[:-1]:
            yield Problem(
                f'{path}.calls[{index}].path',
                "'*' is allowed only at the end",
            )


def _check_workspaces(
    manifest: model.Manifest, defined: _Definitions
) -> Iterator[Problem]:
    items = manifest.workspaces
    yield from _check_duplicates('workspaces', (item.id for item in items))
    used_by: dict[str, str] = {}
    for number, item in enumerate(items):
        path = f'workspaces[{number}]'
        yield from _check_access(defined, path, item)
        for index, key_hash in enumerate(item.key_hashes):
            hash_path = f'{path}.key_hashes[{index}]'
            if key_hash in used_by:
                yield Problem(
                    hash_path,
                    f'the key is already used by {used_by[key_hash]}',
                )
            used_by.setdefault(key_hash, hash_path)


def _check_access(
    defined: _Definitions, path: str, item: model.Workspace
) -> Iterator[Problem]:
    for index, name in enumerate(item.models):
        if name not in defined.models:
            yield _missing_reference(f'{path}.models[{index}]', 'model', name)
    for index, name in enumerate(item.services):
        if name not in defined.services:
            yield _missing_reference(
                f'{path}.services[{index}]', 'service', name
            )
