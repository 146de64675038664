"""Tests of checks, schema, changes and unknown fields of the manifest."""

import pathlib

import attrs
import msgspec
import pytest
from testtools.assertions import assert_that
from testtools import matchers
import yaml

from cassiashift_core import manifest

DOCS = pathlib.Path(__file__).parents[2] / 'docs'


@pytest.fixture
def smotana():
    text = (DOCS / 'examples' / 'smotana.yaml').read_text(encoding='utf-8')
    return msgspec.convert(yaml.safe_load(text), type=manifest.Manifest)


def _paths(content):
    return [problem.path for problem in manifest.check(content)]


def _evolve_item(items, index, **fields):
    changed = list(items)
    changed[index] = attrs.evolve(items[index], **fields)
    return tuple(changed)


@pytest.mark.parametrize('name', ['smotana', 'kolibri'])
def test_example_has_the_required_size(name):
    path = DOCS / 'examples' / f'{name}.yaml'
    value = yaml.safe_load(path.read_text(encoding='utf-8'))
    content = msgspec.convert(value, type=manifest.Manifest)
    kinds = [item.kind for item in content.upstreams]
    assert_that(manifest.check(content), matchers.HasLength(0))
    assert_that(len(content.regions[0].data_centres), matchers.Equals(3))
    assert_that(kinds.count(manifest.UpstreamKind.ENGINE), matchers.Equals(16))
    assert_that(kinds.count(manifest.UpstreamKind.SERVICE), matchers.Equals(3))
    assert_that(content.groups[0].ranks, matchers.HasLength(16))
    assert_that(content.workspaces, matchers.HasLength(10))


def test_published_schema_is_current():
    published = (DOCS / 'manifest.schema.json').read_bytes()
    current = msgspec.json.encode(manifest.schema())
    assert_that(
        msgspec.json.decode(published),
        matchers.Equals(msgspec.json.decode(current)),
    )


def test_duplicate_id_is_reported_with_both_paths(smotana):
    content = attrs.evolve(
        smotana,
        upstreams=_evolve_item(smotana.upstreams, 18, id='warehouse-1'),
    )
    problems = [str(item) for item in manifest.check(content)]
    assert_that(
        problems,
        matchers.Equals(
            [
                "upstreams[18].id: 'warehouse-1' is already used by"
                ' upstreams[16]'
            ]
        ),
    )


@pytest.mark.parametrize(
    ('section', 'index', 'fields', 'path'),
    [
        (
            'upstreams',
            0,
            {'data_centre': 'praha'},
            'upstreams[0].data_centre',
        ),
        ('upstreams', 0, {'offers': ()}, 'upstreams[0].offers'),
        ('upstreams', 0, {'service': 'warehouse'}, 'upstreams[0].service'),
        (
            'upstreams',
            0,
            {'offers': (manifest.Offer('drafting', '9'),)},
            'upstreams[0].offers[0].version',
        ),
        ('upstreams', 17, {'service': None}, 'upstreams[17].service'),
        ('upstreams', 17, {'service': 'x'}, 'upstreams[17].service'),
        ('groups', 0, {'model': 'x'}, 'groups[0].model'),
        ('groups', 0, {'experts': 999}, 'groups[0].ranks'),
        ('workspaces', 2, {'models': ('x',)}, 'workspaces[2].models[0]'),
        ('workspaces', 2, {'services': ('x',)}, 'workspaces[2].services[0]'),
        ('services', 0, {'calls': ()}, 'services[0].calls'),
        ('models', 0, {'versions': ('1', '1')}, 'models[0].versions[1]'),
    ],
)
def test_wrong_item_is_reported_by_its_path(
    smotana, section, index, fields, path
):
    items = _evolve_item(getattr(smotana, section), index, **fields)
    content = attrs.evolve(smotana, **{section: items})
    assert_that(_paths(content), matchers.Contains(path))


@pytest.mark.parametrize('upstream', ['drafting-99', 'warehouse-1'])
def test_rank_needs_an_existing_engine(smotana, upstream):
    ranks = _evolve_item(smotana.groups[0].ranks, 3, upstream=upstream)
    group = attrs.evolve(smotana.groups[0], ranks=ranks)
    content = attrs.evolve(smotana, groups=(group,))
    assert_that(
        _paths(content), matchers.Equals(['groups[0].ranks[3].upstream'])
    )


def test_upstream_serves_one_rank_only(smotana):
    ranks = _evolve_item(smotana.groups[0].ranks, 3, upstream='drafting-01')
    group = attrs.evolve(smotana.groups[0], ranks=ranks)
    content = attrs.evolve(smotana, groups=(group,))
    assert_that(
        _paths(content), matchers.Equals(['groups[0].ranks[3].upstream'])
    )


def test_key_belongs_to_one_workspace_only(smotana):
    hashes = smotana.workspaces[0].key_hashes
    items = _evolve_item(smotana.workspaces, 4, key_hashes=hashes)
    content = attrs.evolve(smotana, workspaces=items)
    assert_that(
        _paths(content), matchers.Equals(['workspaces[4].key_hashes[0]'])
    )


def test_changes_list_removed_and_changed_items(smotana):
    changed = attrs.evolve(
        smotana,
        workspaces=_evolve_item(smotana.workspaces[1:], 0, weight=2.0),
        measures=manifest.Measures(skew=0.5, cost=0.1),
    )
    changes = manifest.changes(smotana, changed)
    kind = manifest.ChangeKind
    assert_that(
        changes,
        matchers.Equals(
            (
                manifest.Change(kind.CHANGED, 'measures'),
                manifest.Change(kind.REMOVED, 'workspaces', 'sales'),
                manifest.Change(
                    kind.CHANGED, 'workspaces', 'wholesale', ('weight',)
                ),
            )
        ),
    )
    assert_that(manifest.changes(smotana, smotana), matchers.HasLength(0))


def test_unknown_fields_are_found_at_any_depth(smotana):
    value = msgspec.json.decode(msgspec.json.encode(smotana))
    value['colour'] = 1
    value['groups'][0]['ranks'][3]['slot'] = 1
    value['workspaces'][1]['limits']['rate'] = 1
    paths = [item.path for item in manifest.unknown_fields(value)]
    assert_that(
        paths,
        matchers.MatchesSetwise(
            matchers.Equals('colour'),
            matchers.Equals('groups[0].ranks[3].slot'),
            matchers.Equals('workspaces[1].limits.rate'),
        ),
    )
