"""A short run of the soak of planned stops."""

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from tests.process import stop_soak

pytestmark = pytest.mark.process


@pytest.mark.parametrize('seed', [4, 9])
async def test_planned_stops_lose_no_request_of_callers_that_stay(
    tmp_path, loopback_network, seed
):
    """Guards against requests cut or held while their entry stops."""
    finished = await stop_soak.run_seed(tmp_path, loopback_network, seed)
    assert_that(dict(finished.problems), matchers.Equals({}))
