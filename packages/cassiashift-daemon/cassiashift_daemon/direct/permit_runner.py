"""Requests and issues permits for upstreams that name a limit."""

import asyncio
from collections.abc import Callable
import time
from typing import Any

import attrs

from cassiashift_core import fleet
from cassiashift_daemon.direct import fleet_runner
from cassiashift_daemon.direct import metrics
from cassiashift_daemon import logs
from cassiashift_net import links


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

    def request(self, upstream: fleet.Upstream, patience_s: float) -> None:
        """Request a permit for a limited upstream.

        Args:
            patience_s: longest time ahead for which it is of use.
        """
        now = time.monotonic()
        condition = self.runner.upstreams.condition(upstream)
        request = fleet.PermitRequest(
            self.runner.cfg.host,
            upstream.id,
            upstream.born_ms,
            condition.limit.per_s,
            condition.permit.request(now),
            patience_s,
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

    def tick(self) -> None:
        """Drop what is known of upstreams that no entry asks for."""
        self.issuer.forget_unused(time.monotonic())

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
        held = self.runner.upstreams.find(request.upstream)
        per_s = 0.0
        if held is not None and held.born_ms == request.born_ms:
            per_s = self.runner.upstreams.condition(held).limit.per_s
        return self.issuer.issue(
            request,
            per_s or request.per_s,
            fleet.issued_share(
                self.runner.own_record(),
                self.runner.live_records(),
                self.runner.known_records(),
            ),
            time.monotonic(),
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
                room_in_s=answer.after_s,
            )
        self.on_answer(upstream.service)
