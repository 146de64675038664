"""Tests of the drain of cassiashiftd's agent with answers under way."""

import asyncio
import types

from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_daemon import agent
from cassiashift_net import links
from cassiashift_net import messages

ATTEMPT = 'entry-1/1/1/1'
PIECE = b'x' * 64 * 1024
# An answer of the largest size that is sent without credit.
PIECES = 128


async def _nothing():
    """Close nothing."""


async def test_answers_that_are_still_to_be_sent_outlast_a_drain():
    """Guards against an end of the agent with unsent pieces of answers."""
    received = []
    senders = asyncio.Queue()
    entry_links = links.Links.from_config(
        'entry', lambda sender, message: received.append(message)
    )
    agent_links = links.Links.from_config(
        'agent', lambda sender, message: senders.put_nowait(sender)
    )
    address = agent_links.bind('tcp://127.0.0.1:0')
    entry_links.send(address, messages.CallCancel(ATTEMPT))
    sender = await asyncio.wait_for(senders.get(), 10.0)

    async def answer():
        for number in range(PIECES):
            sender.reply(messages.CallData(ATTEMPT, number, PIECE))

    process = types.SimpleNamespace(
        cfg=types.SimpleNamespace(host='h'),
        leaving=False,
        _announce=lambda: None,
        attempts=types.SimpleNamespace(
            wait_idle=answer, in_flight={}, close=_nothing
        ),
        presence=types.SimpleNamespace(handle=lambda event: None),
        ranks=types.SimpleNamespace(close=_nothing),
        session=types.SimpleNamespace(close=_nothing),
        links=agent_links,
    )
    await agent.AgentProcess.drain(process)
    await agent.AgentProcess.close(process)
    await asyncio.sleep(1.0)
    entry_links.close()
    assert_that(len(received), matchers.Equals(PIECES))
