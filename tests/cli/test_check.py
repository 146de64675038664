"""Tests of ``cassiashift check`` with valid and malformed files."""

import copy
import json
import pathlib

import hypothesis
from hypothesis import strategies as st
import pytest
from testtools.assertions import assert_that
from testtools import matchers
import yaml

from cassiashift_cli import documents
from cassiashift_cli import main
from cassiashift_cli import manifests

EXAMPLES = pathlib.Path(__file__).parents[2] / 'docs' / 'examples'
SMOTANA_TEXT = (EXAMPLES / 'smotana.yaml').read_text(encoding='utf-8')
SMOTANA_MANIFEST = yaml.safe_load(SMOTANA_TEXT)
JUNK_BYTES = 10_000_000
FUZZ = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=300, database=None
)


def _problems(data):
    if isinstance(data, str):
        data = data.encode()
    return [str(item) for item in manifests.check(data).problems]


@pytest.mark.parametrize('name', ['smotana', 'kolibri'])
def test_an_example_is_accepted(name, capsys):
    status = main.main(['check', str(EXAMPLES / f'{name}.yaml')])
    assert_that(status, matchers.Equals(0))
    assert_that(capsys.readouterr().out, matchers.Contains('19 upstreams'))


def test_every_error_is_reported_with_its_path(tmp_path, capsys):
    text = SMOTANA_TEXT.replace('slots: 18', 'slots: many', 4)
    text = text.replace('skew: 1.0', 'skew: .nan')
    text = text.replace('cost: 0.1', 'cost: -1')
    text = text.replace('checks_orders: true', 'check_orders: true', 1)
    path = tmp_path / 'bad.yaml'
    path.write_text(text, encoding='utf-8')
    status = main.main(['check', str(path), '--json'])
    rows = json.loads(capsys.readouterr().out)['problems']
    assert_that(status, matchers.Equals(2))
    assert_that(
        [row['path'] for row in rows],
        matchers.MatchesSetwise(
            matchers.Equals('measures.skew'),
            matchers.Equals('measures.cost'),
            matchers.Equals('upstreams[0].check_orders'),
            *(
                matchers.Equals(f'groups[0].ranks[{index}].slots')
                for index in range(4)
            ),
        ),
    )


@pytest.mark.parametrize(
    ('data', 'message'),
    [
        (SMOTANA_TEXT + 'name: x\n', 'name: the field occurs twice'),
        ('{"name": "a", "name": "b", "regions": []}', 'name: the field'),
        ('a: &a [1]\nb: *a\n', 'anchors are not supported'),
        ('a: !!python/object/apply:os.system [x]', 'tags are not supported'),
        ('name: [', 'not readable'),
        ('a: 1\n---\nb: 2\n', 'not readable'),
        ('', 'is not an object'),
        ('- 1', 'is not an object'),
        ('{"name": "a", "regions": [], "version": 1.0}', 'version'),
        ('{"name": "a", "regions": [], "version": 1e999}', 'not finite'),
        ('{"name": "a", "regions": [], "version": 1' + '0' * 400 + '}', 'lar'),
        (r'{"name": "\ud800", "regions": []}', 'holds a lone surrogate'),
        ('name: "a\\n"\nregions: []', 'does not match'),
        ('? [a]\n: b', 'a key is not a text'),
        ('upstreams: {}\nname: a\nregions: []', 'upstreams: is not a list'),
        ('regions: []', 'name: the field is missing'),
        (b'\xff\xfe', 'not UTF-8 at byte 0'),
    ],
)
def test_bad_content_is_reported(data, message):
    problems = _problems(data)
    assert_that('\n'.join(problems), matchers.Contains(message), str(problems))


@pytest.mark.parametrize(
    'data',
    [
        b'\x00\xff' * (JUNK_BYTES // 2),
        b'a' * JUNK_BYTES,
        b'[' * JUNK_BYTES,
        b'{"a":' * (JUNK_BYTES // 5),
        b'- ' * (JUNK_BYTES // 2),
        b'a: b\n' * (JUNK_BYTES // 5),
        b'"' + b'\\n' * (JUNK_BYTES // 2),
    ],
    ids=['bytes', 'letters', 'lists', 'objects', 'dashes', 'keys', 'quote'],
)
def test_large_malformed_file_is_refused_briefly(data, tmp_path, capsys):
    path = tmp_path / 'junk'
    path.write_bytes(data)
    status = main.main(['check', str(path)])
    err = capsys.readouterr().err
    assert_that(status, matchers.Equals(2))
    assert_that(err, matchers.Not(matchers.Contains('Traceback')))
    assert_that(len(err), matchers.LessThan(1_000))


def test_a_file_over_the_limit_is_refused():
    data = b' ' * (documents.MAX_FILE_BYTES + 1)
    assert_that(
        _problems(data),
        matchers.Equals([f'larger than {documents.MAX_FILE_BYTES} bytes']),
    )


def test_an_unreadable_path_is_refused(tmp_path, capsys):
    for path in (tmp_path, tmp_path / 'none', 'a\0b'):
        status = main.main(['check', str(path)])
        assert_that(status, matchers.Equals(2))
    assert_that(
        capsys.readouterr().err, matchers.Not(matchers.Contains('Traceback'))
    )


@FUZZ
@hypothesis.given(st.binary(max_size=2_000))
def test_random_bytes_are_refused_in_single_lines(data):
    checked = manifests.check(data)
    assert_that(bool(checked.problems), matchers.Is(True))
    for problem in checked.problems:
        assert_that(str(problem), matchers.Not(matchers.Contains('\n')))


_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=20,
)


def _small_manifest():
    value = copy.deepcopy(SMOTANA_MANIFEST)
    value['upstreams'] = [value['upstreams'][0], value['upstreams'][16]]
    value['groups'][0]['ranks'] = value['groups'][0]['ranks'][:1]
    value['groups'][0]['ranks'][0]['slots'] = 256
    value['workspaces'] = value['workspaces'][:1]
    return value


def test_small_manifest_without_changes_is_accepted():
    data = json.dumps(_small_manifest()).encode()
    assert_that(_problems(data), matchers.HasLength(0))


@FUZZ
@hypothesis.given(st.data())
def test_manifest_with_a_random_value_is_accepted_or_refused(data):
    value = _small_manifest()
    container = value
    while isinstance(container, dict | list) and container:
        keys = (
            sorted(container)
            if isinstance(container, dict)
            else range(len(container))
        )
        key = data.draw(st.sampled_from(list(keys)))
        if not isinstance(container[key], dict | list) or data.draw(
            st.booleans()
        ):
            container[key] = data.draw(_VALUES)
            break
        container = container[key]
    checked = manifests.check(json.dumps(value).encode())
    if not checked.problems:
        encoded = checked.encode()
        assert_that(
            manifests.check(encoded).manifest,
            matchers.Equals(checked.manifest),
        )
