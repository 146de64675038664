"""Tests of the checks of settings and of their page."""

import attrs
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_daemon import settings
from tools import settings_page

VALID = settings.EntrySettings(host='entry-1', data_centre='trnava')


def test_defaults_need_only_a_host_and_a_data_centre():
    settings.check(VALID)
    with pytest.raises(settings.SettingsError) as caught:
        settings.check(settings.EntrySettings())
    assert_that(
        caught.value.problems,
        matchers.Equals(
            [
                '--host (CASSIASHIFT_HOST): is missing',
                '--data-centre (CASSIASHIFT_DATA_CENTRE): is missing',
            ]
        ),
    )


@pytest.mark.parametrize(
    ('name', 'value'),
    [
        ('tick_interval_s', 99.0),
        ('tick_interval_s', float('nan')),
        ('request_timeout_s', float('inf')),
        ('max_body_bytes', 1),
        ('voters', 'a'),
        ('voters', 'a=b'),
        ('voters', 'a=tcp://1.1.1.1:1,a=tcp://1.1.1.1:2'),
        ('statsd', 'localhost'),
        ('http', '127.0.0.1'),
        ('link', '127.0.0.1:1'),
        ('link', 'ipc:///tmp/x'),
        ('operator_key_hash', 'A' * 64),
        ('operator_key_hash', 'a' * 63),
        ('deployment', 'a\nb'),
        ('curve_secret_file', '/x'),
        ('curve_keys_dir', '/x'),
        ('tls_cert_file', '/x'),
        ('tls_key_file', '/x'),
    ],
)
def test_an_invalid_value_names_the_flag_and_the_variable(name, value):
    cfg = attrs.evolve(VALID, **{name: value})
    with pytest.raises(settings.SettingsError) as caught:
        settings.check(cfg)
    start = f'{settings.flag(name)} ({settings.variable(name)}): '
    assert_that(
        str(caught.value).splitlines(),
        matchers.MatchesListwise([matchers.StartsWith(start)]),
    )


def test_every_problem_is_reported_at_once():
    cfg = attrs.evolve(VALID, host='', seed=0, max_body_bytes=1, http='x')
    with pytest.raises(settings.SettingsError) as caught:
        settings.check(cfg)
    assert_that(caught.value.problems, matchers.HasLength(3))


def test_origins_prefer_the_flag_over_the_variable():
    rows = settings.origins(
        VALID,
        ['entry', '--host=entry-1', '--seed', '4'],
        {'CASSIASHIFT_HOST': 'x', 'CASSIASHIFT_HTTP': '1.1.1.1:1'},
    )
    found = {name: origin for name, _, origin in rows}
    assert_that(found['host'], matchers.Equals('--host'))
    assert_that(found['http'], matchers.Equals('CASSIASHIFT_HTTP'))
    assert_that(found['seed'], matchers.Equals('--seed'))
    assert_that(found['voters'], matchers.Equals('default'))


def test_the_settings_page_is_up_to_date():
    written = settings_page.PAGE.read_text(encoding='utf-8')
    assert_that(written, matchers.Equals(settings_page.page()))
