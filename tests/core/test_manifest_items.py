"""Tests of manifest items, their differences and the manifest view."""

import attrs
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import manifest

AA, BB, CC = ('a' * 64, 'b' * 64, 'c' * 64)


@pytest.fixture
def content():
    """Return a manifest with two workspaces, each with one key."""
    return manifest.Manifest(
        name='small',
        regions=(manifest.Region('zapad', (manifest.DataCentre('nitra'),)),),
        models=(manifest.Model('drafting'),),
        workspaces=(
            manifest.Workspace('a', key_hashes=(AA,)),
            manifest.Workspace('b', key_hashes=(BB,), weight=2.0),
        ),
    )


def test_manifest_is_unchanged_by_conversion_to_items(content):
    items = manifest.to_items(content)
    assert_that(manifest.from_items(items), matchers.Equals(content))


def test_difference_has_only_changed_and_removed_items(content):
    old = manifest.to_items(content)
    changed_manifest = attrs.evolve(
        content, workspaces=(manifest.Workspace('a', key_hashes=(CC,)),)
    )
    delta = manifest.make_delta(old, manifest.to_items(changed_manifest))
    changed = [key for key, _ in delta.changed]
    assert_that(changed, matchers.Equals(['workspaces/a']))
    assert_that(delta.removed, matchers.Equals(('workspaces/b',)))


def test_view_updates_its_index_of_keys(content):
    items = manifest.to_items(content)
    view = manifest.ManifestView(dict(items))
    changed_manifest = attrs.evolve(
        content, workspaces=(manifest.Workspace('a', key_hashes=(CC,)),)
    )
    view.apply(manifest.make_delta(items, manifest.to_items(changed_manifest)))
    workspaces = [view.workspace_of_key(item) for item in (AA, BB, CC)]
    expected = [None, None, changed_manifest.workspaces[0]]
    assert_that(workspaces, matchers.Equals(expected))
    assert_that(view.manifest(), matchers.Equals(changed_manifest))


def test_problem_names_the_malformed_item():
    delta = manifest.Delta((('kettles/a', b'{}'),))
    assert_that(delta.find_problem(), matchers.Contains('kettles/a'))
