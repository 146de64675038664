"""A mixed load of drafts, delivery confirmations and stock checks."""

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
class Done:
    """One finished call."""

    kind: str
    reference: str
    reply: Reply


@attrs.define(eq=False)
class Load:
    """Callers of several workspaces that call one after another.

    Attributes:
        key_pattern: makes the key of a workspace from its id.
    """

    session: aiohttp.ClientSession
    entries: list[str]
    workspaces: list[str]
    model: str
    service: str
    rng: random.Random
    key_pattern: str = '{}-example-key'
    done: list[Done] = attrs.field(factory=list)
    _stopped: bool = False

    async def run(self, callers: int) -> None:
        """Run callers until ``stop`` is called."""
        async with asyncio.TaskGroup() as group:
            for number in range(callers):
                group.create_task(self._call_until_stopped(number))

    def stop(self) -> None:
        """Let every caller finish its call and end."""
        self._stopped = True

    async def _call_until_stopped(self, number: int) -> None:
        workspace = self.workspaces[number % len(self.workspaces)]
        key = self.key_pattern.format(workspace)
        caller = Caller(self.session, workspace, key, self.entries)
        count = 0
        while not self._stopped:
            reference = f'{workspace}-{number}-{count}'
            await self._one(caller, reference)
            count += 1

    async def _one(self, caller: Caller, reference: str) -> None:
        kinds = list(SHARES)
        kind = self.rng.choices(kinds, weights=SHARES.values())[0]
        if kind == DRAFT:
            reply = await caller.draft(self.model, reference, DRAFT_TOKENS)
        elif kind == CONFIRMATION:
            reply = await caller.book(self.service, reference)
        else:
            reply = await caller.check_stock(self.service, reference)
        self.done.append(Done(kind, reference, reply))
