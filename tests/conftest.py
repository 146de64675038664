"""Settings of all tests."""

import pytest

REASON = 'a fault that KNOWN-RED.txt lists'


def pytest_collection_modifyitems(items):
    """Let the run pass over the listed faults; the summary names them."""
    for item in items:
        if item.get_closest_marker('known_red') is not None:
            item.add_marker(pytest.mark.xfail(reason=REASON, strict=False))
