"""Fixtures of the command line."""

import pytest

from tests.cli import deployment as deployments


@pytest.fixture
def deployment():
    """Start three entries that share one state machine."""
    running = deployments.Deployment.start_entries(3)
    yield running
    running.close()
