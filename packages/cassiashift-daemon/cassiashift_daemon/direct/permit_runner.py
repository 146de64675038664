"""Requests and issues permits for upstreams that are limited or cold."""

import asyncio
from collections.abc import Callable
import math
import time
from typing import Any

import attrs

from cassiashift_core import fleet
from cassiashift_core import routes
from cassiashift_daemon.direct import fleet_runner
from cassiashift_daemon.direct import metrics
from cassiashift_daemon import logs
from cassiashift_net import links

# An entry that is cut off notices this late that it would not be told of cold
# upstreams.
COUNT_INTERVAL_S = 0.2


@attrs.define(eq=False)
class PermitRunner:
    """Connects the permits of this entry and its issuer with the others.

    Attributes:
        on_answer: called with the service of an upstream once the issuer has
            answered a request for a permit.
    """

    runner: fleet_runner.FleetRunner
    metrics: metrics.Metrics
    issuer: fleet.Issuer
    on_answer: Callable[[str], None] = lambda service: None
    _count_at: float = 0.0
    _is_updated: bool = True
    _has_cold: bool = False

    def request(self, upstream: fleet.Upstream, patience_s: float) -> None:
        """Request a permit for a limited or cold upstream.

        Args:
            patience_s: longest time ahead for which it is of use.
        """
        now = time.monotonic()
        condition = self.runner.upstreams.condition(upstream)
        request = fleet.PermitRequest(
            self.runner.cfg.host,
            upstream.id,
            upstream.born_ms,
            condition.rate_per_s(now),
            condition.permit.request(now),
            patience_s,
            condition.is_cold(now),
        )
        host = fleet.choose_issuer(
            upstream.id,
            upstream.born_ms,
            self.runner.own_record(),
            self.runner.live_records(),
        )
        if host == self.runner.cfg.host:
            # The caller may be in the middle of serving its queue.
            asyncio.get_running_loop().call_soon(
                self._apply, self._issue(request), host
            )
        else:
            self.runner.send(host, request)

    def apply_table(self, table: routes.RouteTable) -> None:
        """Use the rates of a configuration for cold upstreams."""
        self._has_cold = any(item.cold_per_s > 0 for item in table.services)
        bounds = self.runner.cfg.bounds
        self.runner.upstreams.set_cold_terms(
            {
                service.name: fleet.ColdTerms.from_bounds(
                    service.cold_per_s,
                    service.cold_start_s,
                    bounds.cold_overage,
                    bounds.cold_slack,
                )
                for service in table.services
            }
        )

    def record_cold(
        self, upstream: fleet.Upstream, value: str, sent_at: float
    ) -> None:
        """Record the coldness that an answer states, in milliseconds."""
        try:
            cold_s = fleet.parse_cold_s(value)
        except ValueError as exc:
            logs.warning(
                'coldness_ignored', upstream=upstream.id, reason=str(exc)
            )
            return
        changed = self.runner.upstreams.record_cold_answer(
            upstream, cold_s, sent_at, time.monotonic()
        )
        if changed is not None:
            self.runner.log_cold(changed, 'its answer')
            self.runner.broadcast(fleet.UpstreamNews((), (), (changed,)))

    def tick(self) -> None:
        """Count the entries; forget upstreams that no entry asks for."""
        now = time.monotonic()
        if now < self._count_at:
            return
        self._count_at = now + COUNT_INTERVAL_S
        self.issuer.forget_unused(now)
        own = self.runner.own_record()
        self.issuer.count_entries(own, self.runner.known_records())
        until = math.inf
        if self._has_cold:
            until = self.issuer.told_until(
                own, self.runner.heard_records(), now
            )
        self.runner.upstreams.set_told_until(until)
        if (until > now) != self._is_updated:
            self._is_updated = until > now
            logs.info('cold_updates', received=self._is_updated)

    def handlers(self) -> dict[type, Any]:
        """Return the handlers of the messages on permits by message type."""
        return {
            fleet.PermitRequest: self.on_request,
            fleet.Permit: self.on_permit,
        }

    def on_request(
        self, sender: links.Sender, message: fleet.PermitRequest
    ) -> None:
        """Answer another entry's request for a permit."""
        self.runner.send(message.host, self._issue(message))

    def on_permit(self, sender: links.Sender, message: fleet.Permit) -> None:
        """Record the answer of the issuer."""
        self._apply(message, sender.host)

    def _issue(self, request: fleet.PermitRequest) -> fleet.Permit:
        now = time.monotonic()
        condition = fleet.Condition()
        held = self.runner.upstreams.find(request.upstream)
        if held is not None and held.born_ms == request.born_ms:
            condition = self.runner.upstreams.condition(held)
        is_cold = request.is_cold or condition.is_cold(now)
        own, known = self.runner.own_record(), self.runner.known_records()
        cold_share = self.issuer.cold_share(
            own, self.runner.heard_records(), known
        )
        return self.issuer.issue(
            request,
            fleet.rate_to_issue(
                condition.limit.per_s,
                condition.rate_per_s(now),
                is_cold,
                request,
            ),
            fleet.issued_share(own, self.runner.live_records(), known),
            now,
            cold_share if is_cold else None,
        )

    def _apply(self, answer: fleet.Permit, issuer: str) -> None:
        upstream = self.runner.upstreams.find(answer.upstream)
        if upstream is None or upstream.born_ms != answer.born_ms:
            return
        condition = self.runner.upstreams.condition(upstream)
        if not condition.permit.record_answer(answer, time.monotonic()):
            self.metrics.record_permit('late')
            return
        if answer.is_granted:
            self.metrics.record_permit('granted')
        else:
            self.metrics.record_permit('denied')
            logs.info(
                'permit_denied',
                upstream=upstream.id,
                service=upstream.service,
                issuer=issuer,
                limit_per_s=condition.limit.per_s,
                cold=condition.is_cold(time.monotonic()),
                room_in_s=answer.after_s,
            )
        self.on_answer(upstream.service)
