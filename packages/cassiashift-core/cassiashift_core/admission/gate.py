"""The admission gate of an entry: admits, queues or refuses calls.

Each pool (a model or a service) has its own capacity and fair queue, so
one model's overload does not delay another's calls. A call that cannot be
served in time is refused at once, with the time after which to retry.
"""

import math
from typing import Any
from typing import Self

import attrs

from cassiashift_core.admission import fair_queue
from cassiashift_core.admission import limits
from cassiashift_core.admission import model
from cassiashift_core.admission import pools
from cassiashift_core.admission import refusals
from cassiashift_core import errors

ErrorCode = errors.ErrorCode


@attrs.define
class AdmissionGate:
    """Admission control of one entry.

    Call ``expire`` and ``admit_ready`` several times a second: the first
    refuses waiting calls that can no longer be served in time, the second
    starts waiting calls whose workspace's rate limit allows them again.
    """

    cfg: model.AdmissionConfig
    _pools: dict[str, pools.Pool] = attrs.field(factory=dict, init=False)
    _meters: dict[str, limits.WorkspaceMeter] = attrs.field(
        factory=dict, init=False
    )
    _running: dict[str, pools.RunningCall] = attrs.field(
        factory=dict, init=False
    )

    @classmethod
    def from_config(cls, cfg: Any = None) -> Self:
        """Return an empty gate for an ``AdmissionConfig``."""
        return cls(cfg or model.AdmissionConfig())

    def set_capacity(
        self, pool: str, calls: int, now: float
    ) -> list[model.Admitted]:
        """Set how many calls a pool may run; return calls that start now."""
        state = self._pool(pool)
        state.capacity = calls
        return self._start_waiting(state, now)

    def set_limits(
        self,
        workspace: str,
        workspace_limits: model.WorkspaceLimits,
        now: float,
    ) -> None:
        """Apply this entry's share of a workspace's limits and weight."""
        meter = self._meters.get(workspace)
        if meter is None:
            self._meters[workspace] = limits.WorkspaceMeter(workspace_limits)
        else:
            meter.update(workspace_limits, now)
        for pool in self._pools.values():
            pool.queue.set_weight(workspace, workspace_limits.weight)

    def drop_workspace(self, workspace: str) -> None:
        """Drop the limits of a workspace that no longer exists.

        Limits of a workspace with calls in progress are kept.
        """
        meter = self._meters.get(workspace)
        if meter is not None and meter.in_flight == 0:
            del self._meters[workspace]

    @property
    def in_flight(self) -> int:
        """Return the number of calls in progress over all pools."""
        return len(self._running)

    def active_weight(self, pool: str) -> float:
        """Return the total weight of workspaces with calls in a pool.

        Waiting calls and calls in progress count.
        """
        return self._pool(pool).queue.active_weight()

    def queued_in(self, pool: str) -> int:
        """Return the number of waiting calls of a pool."""
        return self._pool(pool).queue.count

    @property
    def queued(self) -> int:
        """Return the number of waiting calls over all pools."""
        return sum(pool.queue.count for pool in self._pools.values())

    @property
    def queued_bytes(self) -> int:
        """Return the total body size of waiting calls in bytes."""
        return sum(pool.queue.total_bytes for pool in self._pools.values())

    def offer(
        self, req: model.AdmissionRequest, now: float
    ) -> model.Admitted | model.Queued | model.Refused:
        """Admit, queue or refuse a new call.

        A queued call may evict others; see ``Queued.evicted``.
        """
        pool = self._pool(req.pool)
        meter = self._meter(req.workspace)
        if self._starts_at_once(pool, meter, req, now):
            return self._start(pool, fair_queue.WaitingCall(req, now), now)
        limit_wait = self._limit_wait(pool, meter, req, now)
        wait = max(limit_wait, pool.estimated_wait_s(req))
        refused = self._refuse_early(req, limit_wait, wait, now)
        if refused is not None:
            return refused
        if self._is_too_large(req):
            return refusals.build(
                self.cfg,
                req,
                ErrorCode.OVERLOADED,
                wait,
                'body too large to queue',
            )
        pool.queue.push(fair_queue.WaitingCall(req, now), meter.limits.weight)
        evicted = self._evict_excess()
        for refusal in evicted:
            if refusal.request_id == req.request_id:
                return refusal
        return model.Queued(req.request_id, wait, evicted)

    def record_first_token(self, request_id: str, now: float) -> None:
        """Record the time to the first token of a call in progress."""
        running = self._running.get(request_id)
        if running is None or running.has_first_token:
            return
        running.has_first_token = True
        pool = self._pool(running.waiting.req.pool)
        pool.first_token_time.record(now - running.admitted_at)

    def release(
        self, request_id: str, used_tokens: float, now: float
    ) -> list[model.Admitted]:
        """Record the end of a call and return the calls that start now.

        Does nothing for a call that is not in progress.
        """
        running = self._running.pop(request_id, None)
        if running is None:
            return []
        req = running.waiting.req
        pool = self._pool(req.pool)
        correction = used_tokens - req.tokens
        pool.rate.record(used_tokens, pool.is_saturated, now)
        pool.in_flight -= 1
        pool.queue.settle(req.workspace, correction)
        self._meter(req.workspace).finish(correction, now)
        return self._start_waiting(pool, now)

    def requeue(self, request_id: str, now: float) -> bool:
        """Put an admitted call without an upstream back in the queue.

        It goes before others of its priority and may start again from the
        next release or ``admit_ready`` on. ``expire`` still counts its
        wait from its arrival. Returns False if it is not in progress.
        """
        running = self._running.pop(request_id, None)
        if running is None:
            return False
        req = running.waiting.req
        pool = self._pool(req.pool)
        pool.in_flight -= 1
        meter = self._meter(req.workspace)
        meter.finish(-req.tokens, now)
        pool.queue.push(running.waiting, meter.limits.weight, front=True)
        pool.queue.settle(req.workspace, -req.tokens)
        return True

    def cancel(self, request_id: str) -> bool:
        """Remove a waiting call whose caller has disconnected.

        Returns whether the call was waiting.
        """
        for pool in self._pools.values():
            removed = list(
                pool.queue.drop(
                    lambda waiting: waiting.req.request_id == request_id
                )
            )
            if removed:
                return True
        return False

    def admit_ready(self, now: float) -> list[model.Admitted]:
        """Start and return the waiting calls that limits now allow."""
        admitted: list[model.Admitted] = []
        for pool in self._pools.values():
            admitted.extend(self._start_waiting(pool, now))
        return admitted

    def expire(self, now: float) -> list[model.Refused]:
        """Remove and refuse waiting calls that cannot be served in time."""
        refused = []
        for pool in self._pools.values():
            for waiting in pool.queue.drop(
                lambda waiting: self._is_late(waiting, now)
            ):
                refused.append(self._refuse_expired(pool, waiting, now))
        return refused

    def refuse_all(self, name: str, reason: str) -> list[model.Refused]:
        """Remove and refuse the waiting calls of a pool without upstreams."""
        pool = self._pool(name)
        return [
            refusals.build(
                self.cfg,
                waiting.req,
                ErrorCode.NO_UPSTREAM,
                self.cfg.max_retry_after_s,
                reason,
            )
            for waiting in list(pool.queue.drop(lambda waiting: True))
        ]

    def waiting_pools(self) -> list[str]:
        """Return the pools with waiting calls."""
        return [name for name, pool in self._pools.items() if pool.queue.count]

    def _pool(self, name: str) -> pools.Pool:
        pool = self._pools.get(name)
        if pool is None:
            pool = pools.Pool.from_config(self.cfg)
            self._pools[name] = pool
        return pool

    def _meter(self, workspace: str) -> limits.WorkspaceMeter:
        meter = self._meters.get(workspace)
        if meter is None:
            meter = limits.WorkspaceMeter(model.WorkspaceLimits())
            self._meters[workspace] = meter
        return meter

    @staticmethod
    def _starts_at_once(
        pool: pools.Pool,
        meter: limits.WorkspaceMeter,
        req: model.AdmissionRequest,
        now: float,
    ) -> bool:
        if pool.in_flight >= pool.capacity:
            return False
        if pool.queue.has_waiting(req.workspace):
            return False
        if req.deadline is not None and now + req.service_s > req.deadline:
            return False
        return meter.may_start(now)

    def _limit_wait(
        self,
        pool: pools.Pool,
        meter: limits.WorkspaceMeter,
        req: model.AdmissionRequest,
        now: float,
    ) -> float:
        """Return the seconds to wait for the workspace's own limits."""
        if not meter.allows_any:
            return self.cfg.max_wait_s + self.cfg.min_retry_after_s
        wait = meter.wait_s(now)
        ahead = pool.queue.tokens_waiting(req.workspace)
        rate = meter.limits.tokens_per_second
        return wait + (ahead / rate if rate > 0 else 0.0)

    def _refuse_early(
        self,
        req: model.AdmissionRequest,
        limit_wait: float,
        wait: float,
        now: float,
    ) -> model.Refused | None:
        deadline = math.inf if req.deadline is None else req.deadline
        if now + wait + req.service_s > deadline:
            code = ErrorCode.DEADLINE_EXCEEDED
            return refusals.build(
                self.cfg, req, code, wait, 'cannot meet the deadline'
            )
        max_wait_s = self._pool(req.pool).max_wait_s(self.cfg)
        if limit_wait > max_wait_s:
            code = ErrorCode.LIMIT_EXCEEDED
            return refusals.build(self.cfg, req, code, wait, 'workspace limit')
        if wait > max_wait_s:
            code = ErrorCode.OVERLOADED
            return refusals.build(
                self.cfg, req, code, wait, 'expected wait too long'
            )
        return None

    def _is_too_large(self, req: model.AdmissionRequest) -> bool:
        return req.body_bytes > self.cfg.max_queued_bytes

    def _evict_excess(self) -> tuple[model.Refused, ...]:
        """Refuse calls of the longest queues until the bounds hold."""
        evicted = []
        while self._exceeds_bounds():
            largest = max(
                (other for other in self._pools.values() if other.queue.count),
                key=lambda other: other.queue.most_backlogged()[1],
            )
            workspace, _ = largest.queue.most_backlogged()
            waiting = largest.queue.drop_last(workspace)
            wait = largest.estimated_wait_s(waiting.req)
            evicted.append(
                refusals.build(
                    self.cfg,
                    waiting.req,
                    ErrorCode.OVERLOADED,
                    wait,
                    'queue full',
                )
            )
        return tuple(evicted)

    def _exceeds_bounds(self) -> bool:
        return (
            self.queued > self.cfg.max_queued
            or self.queued_bytes > self.cfg.max_queued_bytes
        )

    def _start_waiting(
        self, pool: pools.Pool, now: float
    ) -> list[model.Admitted]:
        admitted = []
        while pool.in_flight < pool.capacity:
            waiting = pool.queue.pop(
                lambda workspace: self._meter(workspace).may_start(now),
                lambda waiting: not self._is_late(waiting, now),
            )
            if waiting is None:
                break
            admitted.append(self._start(pool, waiting, now))
        return admitted

    def _start(
        self, pool: pools.Pool, waiting: fair_queue.WaitingCall, now: float
    ) -> model.Admitted:
        req = waiting.req
        meter = self._meter(req.workspace)
        meter.start(req.tokens, now)
        pool.queue.charge(req.workspace, req.tokens, meter.limits.weight)
        pool.in_flight += 1
        self._running[req.request_id] = pools.RunningCall(waiting, now)
        return model.Admitted(req.request_id, now - waiting.arrived_at)

    def _is_late(self, waiting: fair_queue.WaitingCall, now: float) -> bool:
        req = waiting.req
        if now - waiting.arrived_at > self._pool(req.pool).max_wait_s(
            self.cfg
        ):
            return True
        if req.deadline is None:
            return False
        return now + req.service_s > req.deadline

    def _held_by_limit(
        self, pool: pools.Pool, req: model.AdmissionRequest, now: float
    ) -> bool:
        """Return whether the workspace's limits kept a call waiting.

        In a pool with free capacity nothing else makes a call wait.
        """
        if pool.in_flight < pool.capacity:
            return True
        return not self._meter(req.workspace).may_start(now)

    def _refuse_expired(
        self, pool: pools.Pool, waiting: fair_queue.WaitingCall, now: float
    ) -> model.Refused:
        req = waiting.req
        late = req.deadline is not None and now + req.service_s > req.deadline
        if late:
            code = ErrorCode.DEADLINE_EXCEEDED
        elif self._held_by_limit(pool, req, now):
            code = ErrorCode.LIMIT_EXCEEDED
        else:
            code = ErrorCode.OVERLOADED
        return refusals.build(
            self.cfg, req, code, pool.estimated_wait_s(req), 'waited too long'
        )
