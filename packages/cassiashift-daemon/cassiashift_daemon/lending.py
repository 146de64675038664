"""Upstreams of other data centres, lent for a time.

An entry sees the upstreams of its own data centre. For a pool that has none
there, it asks entries of other data centres, whose summaries name the pool's
model or service, for a few. The state is bounded by the pools in use.
"""

import asyncio
from collections.abc import Iterable
import time

import attrs

from cassiashift_core import hashing
from cassiashift_core import membership
from cassiashift_net import links
from cassiashift_net import messages

MAX_LENT_PER_POOL = 16
REFRESH_INTERVAL_S = 0.5
LOAN_S = 2.5
USED_RECENTLY_S = 60.0
FIRST_ANSWER_TIMEOUT_S = 0.5
LENDERS_ASKED = 3


@attrs.define
class _Loan:
    """Upstreams lent by one data centre for one pool."""

    upstreams: tuple[messages.LentUpstream, ...]
    expires_at: float


@attrs.define(eq=False)
class LentUpstreams:
    """Borrows upstreams and forgets them when they are not renewed."""

    member: membership.Membership
    links: links.Links
    _used: dict[str, float] = attrs.field(factory=dict)
    _loans: dict[tuple[str, str], _Loan] = attrs.field(factory=dict)
    _answers: dict[str, asyncio.Event] = attrs.field(factory=dict)

    async def borrow(self, pool: str, is_local: bool) -> None:
        """Borrow upstreams for a pool that has none in this data centre.

        The first call for a pool waits up to ``FIRST_ANSWER_TIMEOUT_S`` for
        a loan, so that it can be routed at once.
        """
        if is_local:
            self._used.pop(pool, None)
            return
        is_first = pool not in self._used
        self._used[pool] = time.monotonic()
        if not is_first and self._has_loan(pool):
            return
        answered = self._answers.setdefault(pool, asyncio.Event())
        if not self._ask(pool):
            return
        try:
            async with asyncio.timeout(FIRST_ANSWER_TIMEOUT_S):
                await answered.wait()
        except TimeoutError:
            return

    def refresh(self) -> None:
        """Renew the loans of pools in use and forget the others."""
        now = time.monotonic()
        for pool, used_at in list(self._used.items()):
            if now - used_at > USED_RECENTLY_S:
                del self._used[pool]
                self._answers.pop(pool, None)
            else:
                self._ask(pool)
        for key, loan in list(self._loans.items()):
            if loan.expires_at <= now or key[0] not in self._used:
                del self._loans[key]

    def received(self, message: messages.PoolAnswer) -> None:
        """Take an answer."""
        if message.pool not in self._used:
            return
        lent = message.upstreams[:MAX_LENT_PER_POOL]
        key = (message.pool, message.data_centre)
        self._loans[key] = _Loan(lent, time.monotonic() + LOAN_S)
        answered = self._answers.get(message.pool)
        if answered is not None and lent:
            answered.set()

    def find(self, upstream: str) -> messages.LentUpstream | None:
        """Return a lent upstream."""
        for item in self._all():
            if item.announcement.upstream == upstream:
                return item
        return None

    def announcements(self) -> dict[str, membership.Announcement]:
        """Return what is announced of each lent upstream."""
        return {
            item.announcement.upstream: item.announcement
            for item in self._all()
        }

    def _all(self) -> Iterable[messages.LentUpstream]:
        for loan in self._loans.values():
            yield from loan.upstreams

    def _has_loan(self, pool: str) -> bool:
        now = time.monotonic()
        return any(
            key[0] == pool and loan.upstreams and loan.expires_at > now
            for key, loan in self._loans.items()
        )

    def _ask(self, pool: str) -> bool:
        lenders = self._lenders(pool)
        for contact in lenders:
            self.links.send(contact.address, messages.PoolQuery(pool))
        return bool(lenders)

    def _lenders(self, pool: str) -> list[membership.Contact]:
        name = pool.partition('@')[0]
        own = self.member.cfg
        found = [
            summary
            for summary in self.member.summaries()
            if summary.data_centre != own.data_centre and summary.contacts
        ]
        order = hashing.rendezvous_order(
            f'{own.host}/{pool}', [item.data_centre for item in found]
        )
        # A summary may be older than a change of the manifest, so that data
        # centres without the pool are asked too, after the others.
        found.sort(
            key=lambda item: (
                all(row.model != name for row in item.capacity),
                item.region != own.region,
                order.index(item.data_centre),
            )
        )
        return [
            contact
            for summary in found[:LENDERS_ASKED]
            for contact in summary.contacts[:LENDERS_ASKED]
        ]


def lend(
    member: membership.Membership, query: messages.PoolQuery, asker: str
) -> messages.PoolAnswer:
    """Return usable upstreams of a pool, spread over the askers."""
    found = {}
    for record in member.agents():
        for item in record.upstreams:
            usable = item.healthy and not item.draining
            if usable and query.pool in pools(item):
                found[item.upstream] = messages.LentUpstream(
                    item, record.host, record.address, record.epoch
                )
    chosen = hashing.rendezvous_order(asker, found)[:MAX_LENT_PER_POOL]
    return messages.PoolAnswer(
        query.pool,
        member.cfg.data_centre,
        tuple(found[name] for name in chosen),
    )


def pools(item: membership.Announcement) -> set[str]:
    """Return the pools that an upstream belongs to."""
    if item.service:
        return {item.service}
    return {f'{offer.model}@{offer.version}' for offer in item.offers}
