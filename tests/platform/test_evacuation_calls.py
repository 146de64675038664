"""Tests of the answers to operators' calls about evacuations."""

from aiohttp import test_utils
from aiohttp import web
import attrs
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import CassiashiftError
from cassiashift_core import ErrorCode
from cassiashift_platform import surfaces


@attrs.define
class _Control:
    """Records orders, or raises an error with a code."""

    code: ErrorCode | None = None
    orders: list = attrs.field(factory=list)

    async def evacuate(self, data_centre, *, is_start):
        """Record an order or raise the error."""
        self.orders.append((data_centre, is_start))
        if self.code is not None:
            raise CassiashiftError(self.code, 'x', retry_after_s=0.5)


async def _post(control, path, **arguments):
    app = web.Application(client_max_size=100)
    app.add_routes(surfaces.Control(control).routes())
    path = f'/cassiashift/evacuations/{path}'
    async with (
        test_utils.TestClient(test_utils.TestServer(app)) as client,
        client.post(path, **arguments) as response,
    ):
        return response.status


@pytest.mark.parametrize(
    ('code', 'status'),
    [
        (None, 200),
        (ErrorCode.NOT_FOUND, 404),
        # 409 would end the operator's call; the order may be given again.
        (ErrorCode.CONFLICT, 503),
        (ErrorCode.NO_QUORUM, 503),
    ],
)
async def test_the_status_tells_whether_to_try_again(code, status):
    answered = await _post(_Control(code), 'east/start')
    assert_that(answered, matchers.Equals(status))


@pytest.mark.parametrize('body', [b'{}', b' ' * 200])
async def test_an_order_with_a_body_is_not_passed_on(body):
    control = _Control()
    status = await _post(control, 'east/end', data=body)
    assert_that(status, matchers.Equals(400))
    assert_that(control.orders, matchers.Equals([]))


async def test_a_name_may_hold_escaped_characters():
    control = _Control()
    await _post(control, 'east%201/end')
    assert_that(control.orders, matchers.Equals([('east 1', False)]))
