"""Tests that a killed process loses no acknowledged entry."""

import subprocess
import sys

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_daemon import storage

KILLS = 5
ACKNOWLEDGED_PER_RUN = 60


@pytest.mark.process
def test_killed_process_keeps_what_it_acknowledged(tmp_path):
    acknowledged = 0
    for _ in range(KILLS):
        acknowledged = write_and_kill(tmp_path)
        opened = storage.Storage.open(tmp_path, 'dep', 'a')
        saved = opened.load()
        opened.close()
        indexes = [entry.index for entry in saved.entries]
        last = indexes[-1] if indexes else saved.snapshot.index
        assert_that(last, matchers.GreaterThan(acknowledged - 1))
        first = saved.snapshot.index + 1
        assert_that(indexes, matchers.Equals(list(range(first, last + 1))))
    assert_that(
        acknowledged, matchers.GreaterThan(KILLS * ACKNOWLEDGED_PER_RUN - 1)
    )


def write_and_kill(folder):
    """Kill a writing process; return the last index it acknowledged."""
    child = subprocess.Popen(
        [sys.executable, '-m', 'tests.daemon.storage.writer', str(folder)],
        stdout=subprocess.PIPE,
        text=True,
    )
    lines = [child.stdout.readline() for _ in range(ACKNOWLEDGED_PER_RUN)]
    child.kill()
    lines += child.stdout.read().splitlines()
    child.wait()
    return max(int(line) for line in lines if line.strip())
