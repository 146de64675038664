"""Generates a mixed load of drafts, confirmations and stock checks."""

import asyncio
import random

import aiohttp
import attrs

from tools.cluster import Caller
from tools.cluster import Reply

DRAFT = 'draft'
CONFIRMATION = 'confirmation'
STOCK_CHECK = 'stock check'
SHARES = {DRAFT: 0.5, CONFIRMATION: 0.25, STOCK_CHECK: 0.25}
DRAFT_TOKENS = 24


@attrs.frozen
class FinishedCall:
    """A call's kind and reference, and the reply after all tries."""

    kind: str
    reference: str
    reply: Reply


@attrs.define(eq=False)
class Load:
    """Concurrent callers, each of which sends one call after another.

    Attributes:
        key_pattern: format of a workspace's key, given its id.
    """

    session: aiohttp.ClientSession
    entries: list[str]
    workspaces: list[str]
    model: str
    service: str
    rng: random.Random
    key_pattern: str = '{}-example-key'
    done: list[FinishedCall] = attrs.field(factory=list)
    _stopped: bool = False

    async def run(self, callers: int) -> None:
        """Run a number of callers until ``stop`` is called."""
        async with asyncio.TaskGroup() as group:
            for number in range(callers):
                group.create_task(self._run_caller(number))

    def stop(self) -> None:
        """Let each caller end after its current call."""
        self._stopped = True

    async def _run_caller(self, number: int) -> None:
        workspace = self.workspaces[number % len(self.workspaces)]
        key = self.key_pattern.format(workspace)
        caller = Caller(self.session, workspace, key, self.entries)
        count = 0
        while not self._stopped:
            reference = f'{workspace}-{number}-{count}'
            await self._call_once(caller, reference)
            count += 1

    async def _call_once(self, caller: Caller, reference: str) -> None:
        kinds = list(SHARES)
        kind = self.rng.choices(kinds, weights=SHARES.values())[0]
        if kind == DRAFT:
            reply = await caller.draft(self.model, reference, DRAFT_TOKENS)
        elif kind == CONFIRMATION:
            reply = await caller.book(self.service, reference)
        else:
            reply = await caller.check_stock(self.service, reference)
        self.done.append(FinishedCall(kind, reference, reply))
