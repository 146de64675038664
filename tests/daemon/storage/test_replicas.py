"""Consensus invariants with storage that loses power at any step."""

import pytest

from tests.core.consensus import schedules
from tests.daemon.storage import stored


@pytest.mark.parametrize('seed', range(1, 11))
def test_invariants_hold_on_real_storage(seed):
    schedules.explore(seed, 40, stored.StoredCluster)
