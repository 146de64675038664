"""Tests of how the voter carries out what the replica decides."""

import asyncio
import threading

import attrs
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import consensus
from cassiashift_core import state
from cassiashift_daemon import voter
from cassiashift_net import links

TIMEOUT_S = 20.0
SENDER = links.Sender('127.0.0.9', lambda message: True)
APPEND = consensus.AppendEntries(1, 1, 0, 0, 1, (), '')


@attrs.define
class Store:
    """A fake store that sets an event at each sync."""

    synced: asyncio.Event = attrs.field(factory=asyncio.Event)
    loop: asyncio.AbstractEventLoop = None

    def persist(self, batch):
        """Set the event; called on the thread for syncs."""
        self.loop.call_soon_threadsafe(self.synced.set)


@attrs.define
class Replica:
    """A fake replica that persists at each tick and records its events.

    Attributes:
        answer: the effects of every event but a tick.
    """

    events: list = attrs.field(factory=list)
    answer: list = attrs.field(factory=list)

    def handle(self, event, now):
        """Record an event; return a ``Persist`` for a tick."""
        self.events.append(event)
        if isinstance(event, consensus.Tick):
            return [consensus.Persist(1)]
        return self.answer


@pytest.fixture
async def parts():
    """Return a voter, its fake store and its fake replica."""
    store = Store(loop=asyncio.get_running_loop())
    replica = Replica()
    own = voter.Voter(
        replica=replica,
        store=store,
        machine=state.StateMachine(),
        links=None,
        addresses={},
        on_event=lambda event: None,
        on_failed=lambda reason: None,
    )
    return own, store, replica


async def test_a_full_default_executor_does_not_delay_a_sync(parts):
    own, store, replica = parts
    loop = asyncio.get_running_loop()
    release = threading.Event()
    busy = [
        loop.run_in_executor(None, release.wait, TIMEOUT_S) for _ in range(64)
    ]
    syncing = asyncio.ensure_future(own.sync_forever())
    own.tick()
    async with asyncio.timeout(TIMEOUT_S / 2):
        await store.synced.wait()
        while consensus.Synced(1) not in replica.events:
            await asyncio.sleep(0.001)
    release.set()
    await asyncio.gather(*busy)
    syncing.cancel()
    assert_that(replica.events[-1], matchers.Equals(consensus.Synced(1)))


async def test_a_voter_that_stops_syncing_by_an_error_has_failed(parts):
    own, _, replica = parts
    reasons = []
    own.on_failed = reasons.append
    own.machine = None
    replica.answer = [consensus.Apply((consensus.Entry(1, 1),))]
    syncing = asyncio.ensure_future(own.sync_forever())
    own.tick()
    async with asyncio.timeout(TIMEOUT_S):
        await syncing
    assert_that(reasons, matchers.HasLength(1))


async def test_a_voter_that_can_not_apply_what_it_received_has_failed():
    """Guards against a voter that goes on without an entry of its log."""
    reasons = []
    own = voter.Voter(
        replica=Replica(answer=[consensus.Apply((consensus.Entry(1, 1),))]),
        store=None,
        machine=None,
        links=None,
        addresses={},
        on_event=lambda event: None,
        on_failed=reasons.append,
    )
    # Links log what a handler raises and go on.
    with pytest.raises(AttributeError):
        own.received(SENDER, APPEND)
    assert_that(reasons, matchers.HasLength(1))
