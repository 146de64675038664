"""Tests of the metrics that are sent to statsd."""

import socket

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_daemon import metrics

TIMEOUT_S = 20.0


@pytest.fixture
def server():
    """Yield a UDP socket in place of a statsd server."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(('127.0.0.1', 0))
        sock.settimeout(TIMEOUT_S)
        yield sock


def test_names_contain_the_role(server):
    address = f'127.0.0.1:{server.getsockname()[1]}'
    sent = metrics.Metrics.from_config(address, 'entry')
    sent.increment('calls.ran')
    sent.gauge('in_flight', 3)
    sent.timing('requests', 0.25)
    received = [server.recv(200) for _ in range(3)]
    wanted = [
        b'cassiashift.entry.calls.ran:1|c',
        b'cassiashift.entry.in_flight:3|g',
        b'cassiashift.entry.requests:250.000000|ms',
    ]
    assert_that(received, matchers.Equals(wanted))


def test_without_a_server_nothing_is_sent():
    disabled = metrics.Metrics.from_config('', 'entry')
    disabled.increment('calls.ran')
    disabled.gauge('in_flight', 1)
    disabled.timing('requests', 0.1)
    assert_that(disabled, matchers.Equals(metrics.Metrics()))
