"""Upstreams of other data centres, lent for a limited time.

Membership tells an entry the upstreams of its own data centre only. For a
pool that has none there, the entry queries entries of other data centres,
first those whose summaries name the pool's model or service, and they lend
some of theirs. The memory used is bounded by the number of pools in use.
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
MAX_LENDERS = 3


@attrs.define
class _Loan:
    """Upstreams that one data centre lends for one pool.

    Attributes:
        expires_at: monotonic time.
    """

    upstreams: tuple[messages.LentUpstream, ...]
    expires_at: float


@attrs.define(eq=False)
class LentUpstreams:
    """Borrows upstreams, and drops loans that are not renewed in time."""

    member: membership.Membership
    links: links.Links
    _used_at: dict[str, float] = attrs.field(factory=dict)
    _loans: dict[tuple[str, str], _Loan] = attrs.field(factory=dict)
    _answer_events: dict[str, asyncio.Event] = attrs.field(factory=dict)

    async def borrow(self, pool: str, is_local: bool) -> None:
        """Borrow upstreams for a pool that has none in this data centre.

        The first call for a pool waits up to ``FIRST_ANSWER_TIMEOUT_S`` for
        a loan, so that it can be routed at once.
        """
        if is_local:
            self._used_at.pop(pool, None)
            return
        is_first = pool not in self._used_at
        self._used_at[pool] = time.monotonic()
        if not is_first and self._has_loan(pool):
            return
        answered = self._answer_events.setdefault(pool, asyncio.Event())
        if not self._send_queries(pool):
            return
        try:
            async with asyncio.timeout(FIRST_ANSWER_TIMEOUT_S):
                await answered.wait()
        except TimeoutError:
            return

    def refresh(self) -> None:
        """Renew the loans of pools in use and drop the others."""
        now = time.monotonic()
        for pool, used_at in list(self._used_at.items()):
            if now - used_at > USED_RECENTLY_S:
                del self._used_at[pool]
                self._answer_events.pop(pool, None)
            else:
                self._send_queries(pool)
        for key, loan in list(self._loans.items()):
            if loan.expires_at <= now or key[0] not in self._used_at:
                del self._loans[key]

    def received(self, message: messages.PoolAnswer) -> None:
        """Store an answer's loan, replacing that data centre's last one."""
        if message.pool not in self._used_at:
            return
        lent = message.upstreams[:MAX_LENT_PER_POOL]
        key = (message.pool, message.data_centre)
        self._loans[key] = _Loan(lent, time.monotonic() + LOAN_S)
        answered = self._answer_events.get(message.pool)
        if answered is not None and lent:
            answered.set()

    def find(self, upstream: str) -> messages.LentUpstream | None:
        """Return a lent upstream by id, or None."""
        for item in self._all_lent():
            if item.announcement.upstream == upstream:
                return item
        return None

    def announcements(self) -> dict[str, membership.Announcement]:
        """Return the announcement of each lent upstream by id."""
        return {
            item.announcement.upstream: item.announcement
            for item in self._all_lent()
        }

    def _all_lent(self) -> Iterable[messages.LentUpstream]:
        for loan in self._loans.values():
            yield from loan.upstreams

    def _has_loan(self, pool: str) -> bool:
        now = time.monotonic()
        return any(
            key[0] == pool and loan.upstreams and loan.expires_at > now
            for key, loan in self._loans.items()
        )

    def _send_queries(self, pool: str) -> bool:
        lenders = self._choose_lenders(pool)
        for contact in lenders:
            self.links.send(contact.address, messages.PoolQuery(pool))
        return bool(lenders)

    def _choose_lenders(self, pool: str) -> list[membership.Contact]:
        name = pool.partition('@')[0]
        own = self.member.cfg
        candidates = [
            summary
            for summary in self.member.summaries()
            if summary.data_centre != own.data_centre and summary.contacts
        ]
        order = hashing.rendezvous_order(
            f'{own.host}/{pool}', [item.data_centre for item in candidates]
        )
        # A summary may be older than a change of the manifest. So data
        # centres that don't list the pool are queried too, after the others.
        candidates.sort(
            key=lambda item: (
                all(row.model != name for row in item.capacity),
                item.region != own.region,
                order.index(item.data_centre),
            )
        )
        return [
            contact
            for summary in candidates[:MAX_LENDERS]
            for contact in summary.contacts[:MAX_LENDERS]
        ]


def lend(
    member: membership.Membership, query: messages.PoolQuery, borrower: str
) -> messages.PoolAnswer:
    """Return the answer to a query: usable upstreams of the pool.

    At most ``MAX_LENT_PER_POOL`` are lent, chosen by hashing so that
    borrowers get different ones.
    """
    usable = {}
    for record in member.agents():
        for item in record.upstreams:
            is_usable = item.healthy and not item.draining
            if is_usable and query.pool in pools(item):
                usable[item.upstream] = messages.LentUpstream(
                    item, record.host, record.address, record.epoch
                )
    chosen = hashing.rendezvous_order(borrower, usable)[:MAX_LENT_PER_POOL]
    return messages.PoolAnswer(
        query.pool,
        member.cfg.data_centre,
        tuple(usable[name] for name in chosen),
    )


def pools(item: membership.Announcement) -> set[str]:
    """Return the names of an upstream's pools.

    A service is its own pool; each offered model has ``MODEL@VERSION``.
    """
    if item.service:
        return {item.service}
    return {f'{offer.model}@{offer.version}' for offer in item.offers}
