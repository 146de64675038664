"""Settings of all tests."""

import pytest

from tools.cluster import addresses

REASON = 'a fault that KNOWN-RED.txt lists'


def pytest_collection_modifyitems(items):
    """Let the run pass over the listed faults; the summary names them."""
    for item in items:
        if item.get_closest_marker('known_red') is not None:
            item.add_marker(pytest.mark.xfail(reason=REASON, strict=False))


@pytest.fixture
def loopback_network():
    """Return the first three parts of addresses that no other run uses."""
    return addresses.Addresses.for_this_process().prefix
