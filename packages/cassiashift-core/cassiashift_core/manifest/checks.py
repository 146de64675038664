"""Checks of a manifest that its structure alone can't express.

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
class _Known:
    """What the parts of a manifest may refer to."""

    data_centres: frozenset[str]
    models: dict[str, model.Model]
    services: frozenset[str]
    upstreams: dict[str, model.Upstream]

    @classmethod
    def from_manifest(cls, content: model.Manifest) -> '_Known':
        """Return the names that a manifest defines."""
        return cls(
            frozenset(
                centre.id
                for region in content.regions
                for centre in region.data_centres
            ),
            {item.id: item for item in content.models},
            frozenset(item.id for item in content.services),
            {item.id: item for item in content.upstreams},
        )


def check(content: model.Manifest) -> list[Problem]:
    """Return every problem of a manifest, in the order of the file."""
    known = _Known.from_manifest(content)
    return list(
        itertools.chain(
            _regions(content),
            _each('models', content.models, _model),
            _each(
                'upstreams',
                content.upstreams,
                functools.partial(_upstream, known),
            ),
            _groups(content, known),
            _each('services', content.services, _service),
            _workspaces(content, known),
        )
    )


def _each(
    name: str,
    items: tuple,
    check_one: Callable[[str, model.Model], Iterator[Problem]],
) -> Iterator[Problem]:
    yield from _duplicates(name, (item.id for item in items))
    for index, item in enumerate(items):
        yield from check_one(f'{name}[{index}]', item)


def _duplicates(
    name: str, values: Iterable[str], suffix: str = '.id'
) -> Iterator[Problem]:
    first: dict[str, int] = {}
    for index, value in enumerate(values):
        if value in first:
            yield Problem(
                f'{name}[{index}]{suffix}',
                f'{value!r} is already used by {name}[{first[value]}]',
            )
        first.setdefault(value, index)


def _missing(path: str, kind: str, value: str) -> Problem:
    return Problem(path, f'there is no {kind} {value!r} in the manifest')


def _regions(content: model.Manifest) -> Iterator[Problem]:
    yield from _duplicates('regions', (item.id for item in content.regions))
    seen: dict[str, str] = {}
    for number, region in enumerate(content.regions):
        if not region.data_centres:
            yield Problem(f'regions[{number}]', 'the region is empty')
        for index, centre in enumerate(region.data_centres):
            path = f'regions[{number}].data_centres[{index}]'
            if centre.id in seen:
                yield Problem(
                    f'{path}.id',
                    f'{centre.id!r} is already used by {seen[centre.id]}',
                )
            seen.setdefault(centre.id, path)


def _model(path: str, item: model.Model) -> Iterator[Problem]:
    yield from _duplicates(f'{path}.versions', item.versions, '')
    yield from _duplicates(f'{path}.adapters', item.adapters, '')
    if not item.versions:
        yield Problem(path, 'the model has no versions')


def _upstream(
    known: _Known, path: str, item: model.Upstream
) -> Iterator[Problem]:
    if item.data_centre not in known.data_centres:
        yield _missing(f'{path}.data_centre', 'data centre', item.data_centre)
    if item.kind is model.UpstreamKind.ENGINE:
        yield from _engine(known, path, item)
    else:
        yield from _plain(known, path, item)


def _engine(
    known: _Known, path: str, item: model.Upstream
) -> Iterator[Problem]:
    if item.service is not None:
        yield Problem(f'{path}.service', 'an engine serves no service')
    if not item.offers:
        yield Problem(f'{path}.offers', 'an engine needs an offer')
    for index, offer in enumerate(item.offers):
        yield from _offer(known, f'{path}.offers[{index}]', offer)


def _plain(
    known: _Known, path: str, item: model.Upstream
) -> Iterator[Problem]:
    if item.offers:
        yield Problem(f'{path}.offers', 'a service offers no models')
    if item.service is None:
        yield Problem(f'{path}.service', 'the name of the service is missing')
    elif item.service not in known.services:
        yield _missing(f'{path}.service', 'service', item.service)


def _offer(known: _Known, path: str, offer: model.Offer) -> Iterator[Problem]:
    offered = known.models.get(offer.model)
    if offered is None:
        yield _missing(f'{path}.model', 'model', offer.model)
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


def _groups(content: model.Manifest, known: _Known) -> Iterator[Problem]:
    yield from _duplicates('groups', (item.id for item in content.groups))
    taken: dict[str, str] = {}
    for number, group in enumerate(content.groups):
        path = f'groups[{number}]'
        yield from _group(known, path, group)
        for index, rank in enumerate(group.ranks):
            place = f'{path}.ranks[{index}]'
            yield from _rank(known, place, group, rank)
            if rank.upstream in taken:
                yield Problem(
                    f'{place}.upstream',
                    f'{rank.upstream!r} already serves {taken[rank.upstream]}',
                )
            taken.setdefault(rank.upstream, place)


def _group(known: _Known, path: str, group: model.Group) -> Iterator[Problem]:
    if group.model not in known.models:
        yield _missing(f'{path}.model', 'model', group.model)
    if group.data_centre not in known.data_centres:
        yield _missing(f'{path}.data_centre', 'data centre', group.data_centre)
    yield from _duplicates(f'{path}.ranks', (rank.id for rank in group.ranks))
    if not group.ranks:
        yield Problem(f'{path}.ranks', 'the group has no ranks')
        return
    slots = sum(rank.slots for rank in group.ranks)
    if slots < group.experts:
        yield Problem(
            f'{path}.ranks',
            f'{slots} slots can not hold {group.experts} experts',
        )


def _rank(
    known: _Known, path: str, group: model.Group, rank: model.Rank
) -> Iterator[Problem]:
    upstream = known.upstreams.get(rank.upstream)
    if upstream is None:
        yield _missing(f'{path}.upstream', 'upstream', rank.upstream)
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


def _service(path: str, item: model.Service) -> Iterator[Problem]:
    names = [f'{call.method} {call.path}' for call in item.calls]
    yield from _duplicates(f'{path}.calls', names, '')
    if not item.calls:
        yield Problem(f'{path}.calls', 'the service has no calls')
    for index, call in enumerate(item.calls):
        if '*' in call.path[:-1]:
            yield Problem(
                f'{path}.calls[{index}].path',
                "'*' may stand only at the end",
            )


def _workspaces(content: model.Manifest, known: _Known) -> Iterator[Problem]:
    items = content.workspaces
    yield from _duplicates('workspaces', (item.id for item in items))
    owners: dict[str, str] = {}
    for number, item in enumerate(items):
        path = f'workspaces[{number}]'
        yield from _allowed(known, path, item)
        for index, stored in enumerate(item.key_hashes):
            place = f'{path}.key_hashes[{index}]'
            if stored in owners:
                yield Problem(place, f'the key is also {owners[stored]}')
            owners.setdefault(stored, place)


def _allowed(
    known: _Known, path: str, item: model.Workspace
) -> Iterator[Problem]:
    for index, name in enumerate(item.models):
        if name not in known.models:
            yield _missing(f'{path}.models[{index}]', 'model', name)
    for index, name in enumerate(item.services):
        if name not in known.services:
            yield _missing(f'{path}.services[{index}]', 'service', name)
