"""Tests of the decoders of the platform's formats."""

import copy
import json

import pytest
from testtools.assertions import assert_that
from testtools import matchers
import yaml

from cassiashift_core import costs
from cassiashift_core import fleet
from cassiashift_core import routes
from cassiashift_daemon.direct import config
from cassiashift_daemon.direct import dialect
from cassiashift_platform import documents
from cassiashift_platform import prompts
from cassiashift_platform import settings
from cassiashift_platform import upstreams

DOCUMENT = {
    'version': 7,
    'routes': [
        {
            'name': 'draft',
            'host': 'a.example',
            'pathPrefix': '/draft/',
            'kind': 'streaming',
            'timeoutMs': 8000,
            'targetLatencyMs': 400,
            'targetGapMs': 120,
            'priority': 1,
            'trafficSplit': [
                {'service': 'model', 'weight': 9},
                {'service': 'desk', 'weight': 1},
            ],
            'attempts': 2,
            'public': False,
            'sticky': True,
            'resumable': True,
        },
        {
            'name': 'book',
            'host': 'a.example',
            'pathPrefix': '/book/',
            'kind': 'unsafe',
            'timeoutMs': 1200,
            'service': 'desk',
        },
    ],
    'services': [
        {
            'name': 'model',
            'healthPath': '/healthz',
            'maxConnections': 10,
            'engine': {'slots': 6, 'step_ms': 5.85, 'expertMb': 580.0},
        },
        {'name': 'desk', 'protocol': 'h1', 'tls': False},
    ],
    'limits': {'maxBodyBytes': 1000, 'idleTimeoutMs': 15000},
    'tenants': [{'name': 'one', 'apiKeys': ['k1', 'k2'], 'priority': 1}],
    'unknown': {'is': 'ignored'},
}
HEARTBEAT = {
    'service': 'desk',
    'address': '10.0.0.9:8080',
    'zone': 'east',
    'version': 'v1',
    'slots': 6,
    'state': 'ready',
    'coldRemainingMs': 0,
    'sequence': 4,
    'born': 1000,
}
SETTINGS = {
    'ip': '10.1.0.40',
    'zone': 'east',
    'region': 'west',
    'listen': {'front': '10.1.0.40:8227', 'control': '10.1.0.40:8229'},
    'portRange': [7340, 7355],
    'seeds': ['10.1.0.40:8229', '10.2.0.29:8229'],
    'bootstrap': True,
    'dataDir': None,
    'heartbeatMs': 1200,
    'faultTolerance': {'machines': 1},
    'bounds': {'configApplyMs': 2500, 'gracePeriodS': 8},
    'zones': {'east': 'west', 'north': 'west'},
    'limits': {'cpuShare': 0.5, 'cpuCores': 2, 'memoryMb': 200},
    'new': 'ignored',
}


def _problems(document):
    table = documents.decode(json.dumps(document).encode())
    return routes.find_problems(table)


def test_a_configuration_is_decoded():
    table = documents.decode(json.dumps(DOCUMENT).encode())
    draft = table.find('a.example', '/draft/x')
    assert_that(draft.kind, matchers.Is(routes.Kind.STREAM))
    assert_that(draft.objective_s, matchers.Equals(0.4))
    assert_that(draft.is_resumable, matchers.Is(True))
    assert_that(
        draft.targets,
        matchers.Equals((routes.Target('model', 9), routes.Target('desk', 1))),
    )
    assert_that(table.service('model').engine.slots, matchers.Equals(6))
    assert_that(table.workspace_of('k2').name, matchers.Equals('one'))
    assert_that(table.limits.max_body_bytes, matchers.Equals(1000))
    assert_that(routes.find_problems(table), matchers.Equals([]))


def _changed(change):
    document = copy.deepcopy(DOCUMENT)
    change(document)
    return document


@pytest.mark.parametrize(
    'change',
    [
        lambda d: d['routes'][1].update(service='none'),
        lambda d: d['routes'][1].update(pathPrefix='/draft/'),
        lambda d: d['routes'][1].update(timeoutMs=0),
        lambda d: [t.update(weight=0) for t in d['routes'][0]['trafficSplit']],
        lambda d: d['tenants'].append({'name': 'two', 'apiKeys': ['k1']}),
    ],
)
def test_an_invalid_configuration_has_one_problem(change):
    assert_that(_problems(_changed(change)), matchers.HasLength(1))


@pytest.mark.parametrize(
    'content',
    [
        json.dumps(DOCUMENT).encode()[:-20],
        b'',
        b'[]',
        b'{"version": "7", "routes": [], "services": []}',
        b'{"version": 0, "routes": [], "services": []}',
        b'{"version": 1' + b'0' * 30 + b', "routes": [], "services": []}',
        json.dumps(
            _changed(lambda d: d['routes'][0].update(kind='odd'))
        ).encode(),
        json.dumps(_changed(lambda d: d['routes'][1].pop('service'))).encode(),
    ],
)
def test_a_malformed_configuration_is_refused(content):
    with pytest.raises(dialect.InvalidDocumentError):
        documents.decode(content)


def test_a_heartbeat_is_decoded():
    content = json.dumps(HEARTBEAT).encode()
    upstream = upstreams.decode_heartbeat('i-1', content)
    assert_that(upstream.address, matchers.Equals('10.0.0.9:8080'))
    assert_that(upstream.state, matchers.Is(fleet.UpstreamState.READY))
    assert_that(upstream.age_key, matchers.Equals((1000, 4)))


@pytest.mark.parametrize(
    'change',
    [
        {'state': 'odd'},
        {'service': None},
        {'address': 'nowhere'},
        {'sequence': '4'},
        {'born': 'x'},
        {'slots': [1]},
        {'sequence': 10**30},
        {'slots': 10**30},
        {'born': -(10**30)},
        {'address': '10.0.0.9:65536'},
        {'address': '10.0.0.9:0'},
        {'address': '10.0.0.9:8080\u00b2'},
        {'address': '10.0.0.9 x:80'},
        {'address': '10.0.0.9:' + 9 * '9' * 500},
    ],
)
def test_a_malformed_heartbeat_is_an_error(change):
    with pytest.raises(ValueError):
        upstreams.decode_heartbeat(
            'i-1', json.dumps(HEARTBEAT | change).encode()
        )


@pytest.mark.parametrize(
    ('value', 'cold_s'),
    [('1500', 1.5), ('0', 0.0), ('null', None)]
    + [(text, None) for text in ('-1', 'NaN', '1e999', '"soon"', '{}')],
)
def test_a_meaningless_coldness_costs_the_heartbeat(value, cold_s):
    content = json.dumps(HEARTBEAT)[:-1] + f', "coldRemainingMs": {value}}}'
    upstream = upstreams.decode_heartbeat('i-1', content.encode())
    assert_that(upstream.cold_s, matchers.Equals(cold_s))


def test_deep_nesting_in_a_heartbeat_ends_its_handler():
    content = b'{"coldRemainingMs": ' + b'[' * 100_000
    with pytest.raises(ValueError):
        upstreams.decode_heartbeat('i-1', content)


@pytest.mark.parametrize(
    'content', [b'{"x": ' + b'[' * 100_000, b'{"born": 1' + b'0' * 30 + b'}']
)
def test_an_odd_leave_is_refused_without_ending_its_handler(content):
    with pytest.raises(ValueError):
        upstreams.decode_leave(content)


def test_a_leave_may_state_the_start_of_the_upstream():
    assert_that(upstreams.decode_leave(b''), matchers.Equals(0))
    assert_that(upstreams.decode_leave(b'{"born": 7}'), matchers.Equals(7))


def test_the_settings_are_decoded(tmp_path):
    path = tmp_path / 'settings.yaml'
    path.write_text(yaml.safe_dump(SETTINGS))
    cfg = settings.read_entry(path)
    assert_that(cfg.host, matchers.Equals('10.1.0.40'))
    assert_that(cfg.seeds, matchers.Equals(('10.1.0.40', '10.2.0.29')))
    assert_that(cfg.link_of('h'), matchers.Equals('tcp://h:7340'))
    assert_that(cfg.bounds.apply_s, matchers.Equals(2.5))
    assert_that(
        cfg.limits,
        matchers.Equals(
            config.HostLimits(cpu_cores=2.0, cpu_share=0.5, memory_mb=200)
        ),
    )
    assert_that(cfg.heartbeat_s, matchers.Equals(1.2))
    assert_that(cfg.data_dir, matchers.Equals(''))
    assert_that(cfg.data_centres, matchers.Equals({'east', 'north'}))


@pytest.mark.parametrize(
    ('name', 'value'),
    [('ip', 7), ('portRange', ['x']), ('bounds', []), ('bootstrap', 'yes')],
)
def test_the_error_for_a_setting_names_it_and_its_file(tmp_path, name, value):
    path = tmp_path / 'settings.yaml'
    path.write_text(yaml.safe_dump(SETTINGS | {name: value}))
    with pytest.raises(settings.SettingsError) as caught:
        settings.read_entry(path)
    assert_that(str(caught.value), matchers.Contains(name))
    assert_that(str(caught.value), matchers.Contains(str(path)))


@pytest.mark.parametrize(
    ('value', 'expected'),
    [
        ('5c1e07a2:800,91BD3f06:410,e4402b7d:250', ('5c1e07a2', '91bd3f06')),
        ('5c1e07a2:800, 91bd3f06:410', ('5c1e07a2',)),
        ('5c1e07a2:800', ()),
        ('', ()),
        ('5c1e07a2:800,nothex:1,e4:2', ()),
        ('5c1e07a2,e4:2', ()),
    ],
)
def test_the_last_part_of_a_prompt_is_not_shared(value, expected):
    parts = prompts.shared_parts({'Cassiashift-Prefix-Hash': value})
    assert_that(parts, matchers.Equals(expected))


def test_a_request_without_a_prompt_has_no_parts():
    assert_that(prompts.shared_parts({}), matchers.Equals(()))


@pytest.mark.parametrize(
    ('usage', 'hint', 'expected'),
    [
        ('900,400', '120', (900, 400, 120)),
        (' 900 , 400 ', ' 120 ', (900, 400, 120)),
        ('900', '120', (0, 0, 120)),
        ('900,x', '-5', (0, 0, 0)),
        ('900,400,1', '1e3', (0, 0, 0)),
        ('-1,400', 'nan', (0, 0, 0)),
        ('9' * 400 + ',1', '9' * 400, (0, 0, 0)),
        ('', '', (0, 0, 0)),
        ('\u0663,4', '\u0663', (0, 0, 0)),
    ],
)
def test_a_malformed_size_counts_as_not_stated(usage, hint, expected):
    headers = {
        'Cassiashift-Token-Usage': usage,
        'Cassiashift-Length-Hint': hint,
    }
    size = prompts.stated_size(headers)
    assert_that(size, matchers.Equals(costs.StatedSize(*expected)))
    unstated = prompts.stated_size({})
    assert_that(unstated, matchers.Equals(costs.StatedSize()))


def test_the_costs_of_an_engine_are_decoded():
    document = copy.deepcopy(DOCUMENT)
    document['services'][0]['engine'] |= {
        'per_seq_ms': 0.426,
        'context_per_k': 0.1,
        'pairs_per_m': 5.0,
        'chunk': 512,
        'usual': {'prompt': 812.5, 'answer': 96},
    }
    table = documents.decode(json.dumps(document).encode())
    engine = table.service('model').engine
    assert_that(
        engine,
        matchers.MatchesStructure.byEquality(
            step_per_request_s=0.000426,
            context_per_thousand_s=0.0001,
            pairs_per_million_s=0.005,
            chunk_tokens=512,
            usual_prompt_tokens=812.5,
            usual_output_tokens=96,
        ),
    )
