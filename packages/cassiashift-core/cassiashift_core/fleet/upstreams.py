"""The upstreams of a region, as one entry knows them."""

from collections.abc import Iterable

import attrs

from cassiashift_core.fleet import messages
from cassiashift_core import hashing

_PROGRESS = {
    messages.UpstreamState.READY: 0,
    messages.UpstreamState.DRAINING: 1,
    messages.UpstreamState.GONE: 2,
}


@attrs.define
class _Known:
    upstream: messages.Upstream
    heard_at: float


@attrs.define
class UpstreamTable:
    """Upstreams by id.

    An announcement counts only if it is newer than what is known of its id:
    by the start of the upstream, then by its number. Draining is final for
    one start. Two upstreams can't share an address: the later start has it.

    Attributes:
        silent_after_s: an upstream without an announcement for this long is
            only used when no other is left.
        forget_after_s: an upstream without one for this long is dropped.
    """

    silent_after_s: float
    forget_after_s: float
    _known: dict[str, _Known] = attrs.field(factory=dict)
    _digest: int | None = None

    def take(
        self, upstream: messages.Upstream, now: float
    ) -> messages.Upstream | None:
        """Take an announcement; return what it changed, if anything.

        A repeated announcement that only has a higher number changes
        nothing that others must be told at once.
        """
        known = self._known.get(upstream.id)
        if known is None:
            return self._add(upstream, now)
        old = known.upstream
        if upstream.age_key <= old.age_key:
            return self._progress(known, upstream)
        if upstream.born_ms == old.born_ms:
            upstream = _with_progress(upstream, old.state)
        known.heard_at = now
        known.upstream = upstream
        if _told(upstream) == _told(old):
            return None
        self._changed(upstream)
        return upstream

    def take_all(
        self, upstreams: Iterable[messages.Upstream], now: float
    ) -> list[messages.Upstream]:
        """Take several announcements; return those that changed anything."""
        taken = (self.take(upstream, now) for upstream in upstreams)
        return [upstream for upstream in taken if upstream is not None]

    def seen(self, sighting: messages.Sighting, now: float) -> None:
        """Note that another entry heard an upstream that is known here."""
        known = self._known.get(sighting.id)
        if known is None or known.upstream.born_ms != sighting.born_ms:
            return
        if sighting.sequence > known.upstream.sequence:
            known.heard_at = now
            known.upstream = attrs.evolve(
                known.upstream, sequence=sighting.sequence
            )

    def left(self, id_: str, born_ms: int) -> messages.Upstream | None:
        """Note that an upstream says that it is gone."""
        known = self._known.get(id_)
        if known is None or (born_ms and born_ms < known.upstream.born_ms):
            return None
        gone = attrs.evolve(known.upstream, state=messages.UpstreamState.GONE)
        return self._progress(known, gone)

    def find(self, id_: str) -> messages.Upstream | None:
        """Return what is known of an id."""
        known = self._known.get(id_)
        return None if known is None else known.upstream

    def accepting(self, service: str, now: float) -> list[messages.Upstream]:
        """Return the upstreams of a service that take new work.

        Silent ones are left out as long as another one is heard.
        """
        ready = [
            known
            for known in self._known.values()
            if known.upstream.service == service
            and known.upstream.state is messages.UpstreamState.READY
        ]
        heard = [
            known
            for known in ready
            if now - known.heard_at <= self.silent_after_s
        ]
        return [known.upstream for known in heard or ready]

    def all(self) -> tuple[messages.Upstream, ...]:
        """Return every upstream, also those that are gone."""
        return tuple(known.upstream for known in self._known.values())

    def forget_silent(self, now: float) -> list[messages.Upstream]:
        """Drop the upstreams that were not heard for long."""
        dropped = [
            known.upstream
            for known in self._known.values()
            if now - known.heard_at > self.forget_after_s
        ]
        for upstream in dropped:
            del self._known[upstream.id]
        if dropped:
            self._digest = None
        return dropped

    def digest(self) -> int:
        """Return a digest of what entries must agree on."""
        if self._digest is None:
            rows = sorted(
                f'{item.id} {item.born_ms} {item.state.value}'
                for item in self.all()
                if item.state is not messages.UpstreamState.GONE
            )
            self._digest = hashing.digest_of('\n'.join(rows).encode())
        return self._digest

    def _add(
        self, upstream: messages.Upstream, now: float
    ) -> messages.Upstream:
        self._known[upstream.id] = _Known(upstream, now)
        self._changed(upstream)
        return upstream

    def _progress(
        self, known: _Known, upstream: messages.Upstream
    ) -> messages.Upstream | None:
        """Take the state of an older announcement if it goes further."""
        old = known.upstream
        if upstream.born_ms != old.born_ms:
            return None
        moved = _with_progress(old, upstream.state)
        if moved == old:
            return None
        known.upstream = moved
        self._digest = None
        return moved

    def _changed(self, upstream: messages.Upstream) -> None:
        self._digest = None
        for known in self._known.values():
            other = known.upstream
            if other.id == upstream.id or other.address != upstream.address:
                continue
            loser = min(known, self._known[upstream.id], key=_start)
            loser.upstream = attrs.evolve(
                loser.upstream, state=messages.UpstreamState.GONE
            )


def _start(known: _Known) -> int:
    return known.upstream.born_ms


def _told(upstream: messages.Upstream) -> messages.Upstream:
    return attrs.evolve(upstream, sequence=0)


def _with_progress(
    upstream: messages.Upstream, state: messages.UpstreamState
) -> messages.Upstream:
    if _PROGRESS[state] <= _PROGRESS[upstream.state]:
        return upstream
    return attrs.evolve(upstream, state=state)
