"""Tests of the command that runs the balancing experiment."""

import json

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_cli import experiment_balance

MEASURES = {
    'skew_mean',
    'skew_p95',
    'moved_bytes',
    'stall_seconds',
    'step_time_ratio',
}


@pytest.fixture
def trace(tmp_path):
    """Return a trace of four windows, two layers and eight experts."""
    path = tmp_path / 'trace.jsonl'
    rows = [
        {
            'window': window,
            'layer': layer,
            'tokens': [
                100 + (expert * (window + 3)) % 7 for expert in range(8)
            ],
        }
        for window in range(4)
        for layer in range(2)
    ]
    path.write_text(''.join(json.dumps(row) + '\n' for row in rows))
    return path


def test_json_has_all_policies_and_the_lower_bound(trace, capsys):
    status = experiment_balance.balance(
        trace=trace, ranks=4, slots=3, json_output=True
    )
    document = json.loads(capsys.readouterr().out)
    assert_that(status, matchers.Equals(0))
    assert_that(
        set(document['policies']),
        matchers.Equals({'static', 'greedy', 'greedy-sticky', 'cassiashift'}),
    )
    for row in [*document['policies'].values(), document['lower_bound']]:
        assert_that(set(row), matchers.Equals(MEASURES))


def test_same_input_gives_identical_output(trace, capsys):
    outputs = []
    for _ in range(2):
        experiment_balance.balance(
            trace=trace, ranks=4, slots=3, json_output=True
        )
        outputs.append(capsys.readouterr().out)
    assert_that(outputs[0], matchers.Equals(outputs[1]))


def test_table_names_the_chosen_policies(trace, capsys):
    experiment_balance.balance(
        trace=trace, ranks=4, slots=3, policies='static,cassiashift'
    )
    out = capsys.readouterr().out
    assert_that(out, matchers.Contains('cassiashift'))
    assert_that(out, matchers.Not(matchers.Contains('greedy')))


def test_malformed_trace_gets_status_2_and_its_line(trace, capsys):
    text = trace.read_text().splitlines()
    text[4] = '{"window": 2}'
    trace.write_text('\n'.join(text))
    status = experiment_balance.balance(trace=trace, ranks=4, slots=3)
    assert_that(status, matchers.Equals(2))
    assert_that(capsys.readouterr().err, matchers.Contains('line 5'))


@pytest.mark.parametrize(
    'options',
    [{'policies': 'magic'}, {'ranks': 1, 'slots': 3}],
)
def test_unusable_options_get_status_2(trace, capsys, options):
    options = {'ranks': 4, 'slots': 3, **options}
    status = experiment_balance.balance(trace=trace, **options)
    assert_that(status, matchers.Equals(2))
    assert_that(capsys.readouterr().err, matchers.StartsWith('error: '))


def test_missing_file_gets_status_2(tmp_path, capsys):
    status = experiment_balance.balance(trace=tmp_path / 'none')
    assert_that(status, matchers.Equals(2))


def test_plot_writes_a_png_file(trace, tmp_path, capsys):
    path = tmp_path / 'measures.png'
    experiment_balance.balance(trace=trace, ranks=4, slots=3, plot=path)
    assert_that(path.read_bytes()[:4], matchers.Equals(b'\x89PNG'))
