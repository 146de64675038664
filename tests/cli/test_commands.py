"""Tests of the commands that talk to a deployment."""

import json
import pathlib

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_cli import main
from tests.cli import deployment as deployments

SMOTANA = str(
    pathlib.Path(__file__).parents[2] / 'docs' / 'examples' / 'smotana.yaml'
)


@pytest.fixture
def cassiashift(deployment, monkeypatch, capsys):
    """Return a function that runs a command as an operator."""
    monkeypatch.setenv('CASSIASHIFT_ENTRY', deployment.urls)
    monkeypatch.setenv(
        'CASSIASHIFT_OPERATOR_KEY', deployments.KEYS['operator']
    )

    monkeypatch.setenv('CASSIASHIFT_TIMEOUT_S', '10')

    def run(*arguments):
        status = main.main(arguments)
        captured = capsys.readouterr()
        assert_that(captured.err, matchers.Not(matchers.Contains('Traceback')))
        return status, captured.out, captured.err

    return run


def _apply(cassiashift, revision=0, request_id='id-1', *more):
    return cassiashift(
        'apply',
        SMOTANA,
        f'--expect-revision={revision}',
        f'--request-id={request_id}',
        '--json',
        *more,
    )


def test_apply_puts_a_manifest_in_force(cassiashift, deployment):
    status, out, _ = _apply(cassiashift)
    answer = json.loads(out)
    assert_that(status, matchers.Equals(0))
    assert_that(answer['revision'], matchers.Equals(1))
    assert_that(answer['in_force_after_s'], matchers.Not(matchers.Is(None)))
    assert_that(answer['hosts'], matchers.Equals(3))
    assert_that(
        deployment.entries[2].holder.view.header().name,
        matchers.Equals('smotana'),
    )


def test_apply_is_resent_to_another_entry_after_a_lost_answer(
    cassiashift, deployment
):
    # The HTTP client resends a PUT once by itself, so two answers are lost.
    deployment.entries[0].lost_answers = 2
    status, out, _ = _apply(cassiashift)
    assert_that(status, matchers.Equals(0))
    assert_that(json.loads(out)['revision'], matchers.Equals(1))
    assert_that(deployment.machine.shared.revision, matchers.Equals(1))
    assert_that(deployment.entries[1].changes, matchers.Equals(1))


def test_apply_is_resent_to_another_entry_without_a_quorum(
    cassiashift, deployment
):
    deployment.entries[0].failures = 1
    status, _, _ = _apply(cassiashift)
    assert_that(status, matchers.Equals(0))
    assert_that(deployment.entries[1].changes, matchers.Equals(1))


def test_apply_with_an_old_revision_is_a_conflict(cassiashift):
    _apply(cassiashift)
    status, out, err = _apply(cassiashift, 0, 'id-2')
    assert_that(status, matchers.Equals(3))
    assert_that(json.loads(out)['error']['code'], matchers.Equals('conflict'))
    assert_that(err, matchers.Contains('the current revision is 1'))


def test_apply_with_the_same_request_id_gets_the_first_answer(cassiashift):
    _apply(cassiashift)
    _apply(cassiashift, 1, 'id-2')
    status, out, _ = _apply(cassiashift, 0, 'id-1')
    assert_that(status, matchers.Equals(0))
    assert_that(json.loads(out)['revision'], matchers.Equals(1))


def test_apply_names_a_host_without_the_new_revision(cassiashift, deployment):
    deployment.entries[1].is_stalled = True
    status, out, _ = _apply(cassiashift, 0, 'id-1', '--timeout-s=0.5')
    answer = json.loads(out)
    assert_that(status, matchers.Equals(6))
    assert_that(answer['behind'], matchers.Equals(['entry-2']))
    assert_that(answer['in_force_after_s'], matchers.Is(None))


def test_apply_does_not_send_an_invalid_manifest(
    cassiashift, deployment, tmp_path
):
    path = tmp_path / 'bad.yaml'
    path.write_text('name: a\nregions: []\nunknown: 1\n', encoding='utf-8')
    status, _, err = cassiashift('apply', str(path), '--expect-revision=0')
    assert_that(status, matchers.Equals(2))
    assert_that(err, matchers.Contains('unknown: there is no such field'))
    assert_that(deployment.entries[0].changes, matchers.Equals(0))


def test_plan_shows_the_changes_and_makes_none(
    cassiashift, deployment, tmp_path
):
    _apply(cassiashift)
    text = pathlib.Path(SMOTANA).read_text(encoding='utf-8')
    path = tmp_path / 'new.yaml'
    path.write_text(text.replace('weight: 8.0', 'weight: 4.0', 1))
    status, out, _ = cassiashift('plan', str(path))
    assert_that(status, matchers.Equals(0))
    assert_that(out, matchers.Contains('changed  workspaces sales (weight)'))
    assert_that(out, matchers.Contains('--expect-revision 1'))
    assert_that(deployment.machine.shared.revision, matchers.Equals(1))


def test_plan_without_a_manifest_in_force_adds_every_object(cassiashift):
    _, out, _ = cassiashift('plan', SMOTANA, '--json')
    answer = json.loads(out)
    kinds = [change['kind'] for change in answer['changes']]
    assert_that(answer['revision'], matchers.Equals(0))
    assert_that(kinds.count('added'), matchers.Equals(3 + 1 + 19 + 1 + 1 + 10))


def test_upstreams_lists_missing_and_unexpected_ones(cassiashift, deployment):
    _apply(cassiashift)
    deployment.announce({'drafting-01': 2, 'stranger': 0})
    status, out, _ = cassiashift('upstreams', '--json')
    answer = json.loads(out)
    assert_that(status, matchers.Equals(0))
    assert_that(answer['missing'], matchers.HasLength(18))
    assert_that(answer['unexpected'], matchers.Equals(['stranger']))


def test_drain_waits_for_the_requests_in_progress(cassiashift, deployment):
    _apply(cassiashift)
    deployment.announce({'drafting-01': 2, 'drafting-02': 0})
    status, _, err = cassiashift(
        'drain', 'drafting-01', '--wait', '--timeout-s=0.5'
    )
    assert_that(status, matchers.Equals(1))
    assert_that(err, matchers.Contains('2 requests in progress'))
    status, out, _ = cassiashift('drain', 'drafting-02', '--wait')
    assert_that(status, matchers.Equals(0))
    assert_that(out, matchers.Contains('drafting-02 is draining'))
    cassiashift('drain', 'drafting-02', '--undo')
    assert_that(
        deployment.machine.shared.drains, matchers.Equals({'drafting-01'})
    )


def test_drain_of_an_unknown_upstream_is_refused(cassiashift, deployment):
    _apply(cassiashift)
    status, _, err = cassiashift('drain', 'drafting-1')
    assert_that(status, matchers.Equals(2))
    assert_that(err, matchers.Contains("there is no upstream 'drafting-1'"))


def test_an_evacuation_starts_is_listed_and_ends(cassiashift, deployment):
    _apply(cassiashift)
    status, out, _ = cassiashift('evacuation', 'start', 'trnava')
    assert_that(status, matchers.Equals(0))
    assert_that(out, matchers.Contains('trnava is evacuated as of revision'))
    shared = deployment.machine.shared
    assert_that(shared.evacuations.evacuated, matchers.Equals({'trnava'}))
    _, out, _ = cassiashift('evacuation', 'list', '--json')
    rows = {row['data_centre']: row for row in json.loads(out)['rows']}
    assert_that(rows['trnava']['operator'], matchers.Equals('operator'))
    _, out, _ = cassiashift('status')
    assert_that(out, matchers.Contains('evacuated: trnava'))
    status, out, _ = cassiashift('evacuation', 'end', 'trnava')
    assert_that(status, matchers.Equals(0))
    assert_that(out, matchers.Contains('trnava is in service'))
    _, out, _ = cassiashift('evacuation', 'list')
    assert_that(out, matchers.Not(matchers.Contains('operator ')))


def test_an_evacuation_of_an_unknown_data_centre_is_refused(cassiashift):
    _apply(cassiashift)
    status, _, err = cassiashift('evacuation', 'start', 'trnawa')
    assert_that(status, matchers.Equals(2))
    assert_that(err, matchers.Contains("no data centre 'trnawa'; known: "))


def test_an_order_with_a_used_request_id_gets_its_first_answer(
    cassiashift, deployment
):
    """A copy of a start that arrives after the end starts nothing."""
    _apply(cassiashift)
    for order in ('start', 'end', 'start'):
        status, _, _ = cassiashift(
            'evacuation', order, 'trnava', f'--request-id={order}'
        )
        assert_that(status, matchers.Equals(0))
    evacuated = deployment.machine.shared.evacuations.evacuated
    assert_that(evacuated, matchers.Equals(frozenset()))


@pytest.mark.parametrize('command', ['status', 'groups', 'upstreams'])
def test_a_command_prints_text_and_json(cassiashift, command):
    _apply(cassiashift)
    status, text, _ = cassiashift(command)
    assert_that(status, matchers.Equals(0))
    assert_that(text.splitlines(), matchers.Not(matchers.HasLength(0)))
    status, out, _ = cassiashift(command, '--json')
    assert_that(status, matchers.Equals(0))
    assert_that(json.loads(out), matchers.IsInstance(dict))


def test_timeline_merges_and_filters_the_events_of_all_entries(cassiashift):
    _, out, _ = cassiashift('timeline', '--json')
    events = [json.loads(line) for line in out.splitlines()]
    times = [
        (event['clock']['wall_us'], event['clock']['logical'])
        for event in events
    ]
    assert_that(
        {event['host'] for event in events},
        matchers.Equals({'entry-1', 'entry-2', 'entry-3'}),
    )
    assert_that(times, matchers.Equals(sorted(times)))
    _, out, _ = cassiashift('timeline', '--request=r2', '--host=entry-2')
    assert_that(out.splitlines()[1:], matchers.HasLength(1))
    assert_that(out, matchers.Contains('note=two?lines'))


def test_timeline_of_repeated_files_has_each_event_once(cassiashift, tmp_path):
    _, out, _ = cassiashift('timeline', '--json')
    path = tmp_path / 'events.jsonl'
    path.write_text(out, encoding='utf-8')
    status, repeated, _ = cassiashift(
        'timeline', str(path), str(path), '--json'
    )
    assert_that(status, matchers.Equals(0))
    assert_that(repeated, matchers.Equals(out))


def test_timeline_writes_an_html_page(cassiashift, tmp_path):
    path = tmp_path / 'page.html'
    status, _, _ = cassiashift('timeline', f'--html={path}')
    text = path.read_text(encoding='utf-8')
    assert_that(status, matchers.Equals(0))
    assert_that(text, matchers.StartsWith('<!DOCTYPE html>'))
    assert_that(text, matchers.Contains('entry-3'))
    status, _, err = cassiashift('timeline', f'--html={tmp_path}')
    assert_that(status, matchers.Equals(2))
    assert_that(err, matchers.Contains('Is a directory'))


def test_timeline_names_a_malformed_file(cassiashift, tmp_path):
    path = tmp_path / 'events.jsonl'
    for data in (b'{', b'\xff', b'[]', b'{"clock":1}'):
        path.write_bytes(data)
        status, _, err = cassiashift('timeline', str(path))
        assert_that(status, matchers.Equals(2))
        assert_that(err, matchers.Contains('events.jsonl'))


def test_timeline_names_an_entry_that_does_not_answer(cassiashift, deployment):
    urls = f'{deployment.entries[0].url},http://127.0.0.1:9'
    status, out, err = cassiashift('timeline', f'--entry={urls}')
    assert_that(status, matchers.Equals(0))
    assert_that(out.splitlines()[1:], matchers.HasLength(2))
    assert_that(err, matchers.Contains('http://127.0.0.1:9'))


@pytest.mark.parametrize(
    ('arguments', 'status'),
    [
        (['status', '--operator-key=wrong'], 5),
        (['status', '--operator-key=caf\u00e9\udcff'], 5),
        (['status', '--operator-key='], 5),
        (['status', '--entry=ftp://x'], 2),
        (['status', '--entry='], 2),
        (['status', '--timeout-s=nan'], 2),
        (['status', '--timeout-s=-1'], 2),
        (['status', '--timeout-s=x'], 2),
        (['status', '--operator-key=', '--operator-key-file=/none'], 2),
        (['status', '--entry=http://127.0.0.1:9', '--timeout-s=0.1'], 4),
        (['status', '--ca-file=/none'], 2),
        (['apply', SMOTANA], 2),
        (['apply', SMOTANA, '--expect-revision=-1'], 2),
        (
            [
                'apply',
                SMOTANA,
                '--expect-revision=0',
                '--request-id=' + 'x' * 999,
            ],
            2,
        ),
        (['unknown'], 2),
        (['experiment', 'unknown'], 2),
        (['keys', 'operator', 'a b'], 2),
        (['keys', 'host', 'a', '--link=udp://x'], 2),
    ],
)
def test_failed_command_ends_with_its_exit_status(
    cassiashift, arguments, status
):
    assert_that(cassiashift(*arguments)[0], matchers.Equals(status))


def test_viewer_key_can_read_but_not_change(cassiashift):
    key = f'--operator-key={deployments.KEYS["viewer"]}'
    assert_that(cassiashift('status', key)[0], matchers.Equals(0))
    status, out, _ = _apply(cassiashift, 0, 'id-1', key)
    assert_that(status, matchers.Equals(5))
    assert_that(json.loads(out)['error']['code'], matchers.Equals('forbidden'))


def test_key_file_is_readable_by_its_owner_only(cassiashift, tmp_path):
    path = tmp_path / 'ann.key'
    status, out, _ = cassiashift(
        'keys', 'operator', 'ann', '--role=operator', f'--file={path}'
    )
    key = path.read_text().strip()
    assert_that(status, matchers.Equals(0))
    assert_that(path.stat().st_mode & 0o777, matchers.Equals(0o600))
    assert_that(out, matchers.Not(matchers.Contains(key)))
    status, _, _ = cassiashift('keys', 'workspace', f'--file={path}')
    assert_that(status, matchers.Equals(2))
    assert_that(path.read_text().strip(), matchers.Equals(key))


def test_version_and_completion_are_printed(cassiashift):
    status, out, _ = cassiashift('--version')
    assert_that((status, out), matchers.Equals((0, f'{main.VERSION}\n')))
    status, out, _ = cassiashift('completion', 'bash')
    assert_that(status, matchers.Equals(0))
    assert_that(out, matchers.Contains('complete -F'))
