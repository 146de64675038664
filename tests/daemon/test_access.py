"""Tests of the authentication of callers and operators."""

import attrs
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import CassiashiftError
from cassiashift_core import ErrorCode
from cassiashift_core import manifest
from cassiashift_daemon import access
from cassiashift_daemon import settings

ROLE = access.OperatorRole


@pytest.fixture
def content():
    return manifest.Manifest(
        name='a',
        regions=(),
        workspaces=(
            manifest.Workspace(
                id='sales',
                key_hashes=(access.key_hash('old'), access.key_hash('new')),
            ),
            manifest.Workspace(id='none'),
        ),
    )


def view_of(content):
    return manifest.ManifestView(manifest.to_items(content))


@pytest.mark.parametrize('key', ['old', 'new'])
def test_every_key_of_a_workspace_is_accepted(content, key):
    found = access.workspace_of(view_of(content), key)
    assert_that(found.id, matchers.Equals('sales'))


@pytest.mark.parametrize('key', ['', 'ol', 'caf\u00e9', 'a\udcff', 'x' * 9999])
def test_any_other_key_is_rejected(content, key):
    assert_that(access.workspace_of(view_of(content), key), matchers.Is(None))


def test_a_stored_hash_is_not_accepted_as_a_key(content):
    stored = content.workspaces[0].key_hashes[0]
    assert_that(
        access.workspace_of(view_of(content), stored), matchers.Is(None)
    )


def test_a_key_is_rejected_once_a_manifest_removes_it(content):
    access.workspace_of(view_of(content), 'old')
    workspace = attrs.evolve(
        content.workspaces[0], key_hashes=(access.key_hash('new'),)
    )
    later = attrs.evolve(content, workspaces=(workspace,))
    assert_that(access.workspace_of(view_of(later), 'old'), matchers.Is(None))
    assert_that(
        access.workspace_of(view_of(later), 'new'), matchers.Equals(workspace)
    )


@pytest.mark.parametrize(
    'header',
    [
        None,
        '',
        'Bearer',
        'Bearer ',
        'bearer a',
        'Basic a',
        'Bearer ' + 'a' * 999,
    ],
)
def test_a_header_without_a_usable_key_is_refused(header):
    with pytest.raises(CassiashiftError) as caught:
        access.bearer_key(header)
    assert_that(caught.value.code, matchers.Equals(ErrorCode.UNAUTHENTICATED))


@pytest.fixture
def operators(tmp_path):
    path = tmp_path / 'operators'
    path.write_text(
        '# the office\n\n'
        f'ann viewer {access.key_hash("a")}\n'
        f'ben operator {access.key_hash("b")} # until May\n'
    )
    cfg = settings.EntrySettings(
        host='h',
        data_centre='d',
        operators_file=str(path),
        operator_key_hash=access.key_hash('first'),
    )
    return access.Operators.from_config(cfg)


@pytest.mark.parametrize(
    ('key', 'needed', 'code'),
    [
        ('a', ROLE.VIEWER, None),
        ('a', ROLE.OPERATOR, ErrorCode.FORBIDDEN),
        ('b', ROLE.OPERATOR, None),
        ('b', ROLE.ADMIN, ErrorCode.FORBIDDEN),
        ('first', ROLE.ADMIN, None),
        ('c', ROLE.VIEWER, ErrorCode.UNAUTHENTICATED),
        ('', ROLE.VIEWER, ErrorCode.UNAUTHENTICATED),
    ],
)
def test_a_key_is_authorised_up_to_its_role(operators, key, needed, code):
    try:
        operators.authorise(key, needed)
        actual = None
    except CassiashiftError as exc:
        actual = exc.code
    assert_that(actual, matchers.Equals(code))


def test_without_settings_no_key_is_an_operator_key():
    cfg = settings.EntrySettings(host='h', data_centre='d')
    operators = access.Operators.from_config(cfg)
    for key in ('', '0' * 64, 'a'):
        assert_that(operators.authenticate(key), matchers.Is(None))


@pytest.mark.parametrize(
    'text',
    [
        'ann viewer x',
        'ann king ' + 'a' * 64,
        'ann',
        'a viewer {0}\na viewer {0}',
    ],
)
def test_a_malformed_operators_file_names_the_setting(tmp_path, text):
    path = tmp_path / 'operators'
    path.write_text(text.format('a' * 64))
    cfg = settings.EntrySettings(operators_file=str(path))
    with pytest.raises(CassiashiftError, match='--operators-file'):
        access.Operators.from_config(cfg)
