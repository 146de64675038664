"""Tests of the supervision of the voter in an entry's process."""

import asyncio
import contextlib

import attrs
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_daemon.direct import voting

REOPEN_S = 0.01
RUN_S = 0.5


@attrs.define
class Store:
    """A data folder that counts how often it is closed."""

    closed: int = 0

    def close(self):
        """Count a close."""
        self.closed += 1


async def test_a_failed_voter_is_reopened(monkeypatch):
    store = Store()

    async def fail(self, store):
        raise RuntimeError('no descriptor is left')

    monkeypatch.setattr(voting, 'REOPEN_AFTER_S', REOPEN_S)
    monkeypatch.setattr(
        voting.VoterSupervisor, '_open_store', lambda self: store
    )
    monkeypatch.setattr(voting.VoterSupervisor, '_run_voter', fail)
    supervisor = voting.VoterSupervisor(
        cfg=None,
        deployment='d',
        links=None,
        runner=None,
        rng=None,
        on_document=None,
    )
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(RUN_S):
            await supervisor.run_forever()
    assert_that(store.closed, matchers.GreaterThan(2))
