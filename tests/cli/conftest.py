"""Fixtures of the command line."""

import pytest

from tests.cli import deployment as deployments


@pytest.fixture
def deployment():
    """Start three entries that share one state machine."""
    running = deployments.Deployment.started(3)
    yield running
    running.close()
