"""Functions of a direct entry that a platform's adapter calls."""

import asyncio
from collections.abc import Callable
import time
from typing import Any

import attrs

from cassiashift_core import CassiashiftError
from cassiashift_core import ErrorCode
from cassiashift_core import evacuation
from cassiashift_core import fleet
from cassiashift_core import routes
from cassiashift_core.state import commands
from cassiashift_core.state import results
from cassiashift_daemon.direct import config
from cassiashift_daemon.direct import dialect
from cassiashift_daemon.direct import evacuation_runner
from cassiashift_daemon.direct import explaining
from cassiashift_daemon.direct import fleet_runner
from cassiashift_daemon.direct import tables
from cassiashift_daemon import logs
from cassiashift_daemon import proposals
from cassiashift_net import explanations

# Callers of the control API stop waiting after one second.
COMMIT_TIMEOUT_S = 2.5
READ_TIMEOUT_S = 0.8
# A process that was suspended finds an operator's call and the end of its
# connection at once; the call is cancelled within this time.
CALL_SETTLED_S = 0.01
# An attempt at an unreachable voter ends early enough to try two others.
TRY_TIMEOUT_S = 0.4
# The directory may name a lost host for this long at most; a look-up costs
# less than a connection attempt that hangs.
DIRECTORY_TTL_S = 1.0
# By this time after the start, all hosts of a system have started and sent
# their first hello.
FLEET_SETTLED_S = 8.0


@attrs.frozen
class DirectoryAnswer:
    """Addresses of entries, and how long a caller may cache them."""

    addresses: tuple[str, ...]
    ttl_s: float


@attrs.define(eq=False)
class ControlApi:
    """Handles heartbeats of upstreams and configurations of operators."""

    cfg: config.DirectConfig
    dialect: dialect.Dialect
    runner: fleet_runner.FleetRunner
    holder: tables.TableHolder
    proposer: proposals.Proposer
    evacuations: evacuation_runner.EvacuationRunner
    explainer: explaining.Explainer | None = None
    started_at: float = attrs.field(factory=time.monotonic)

    def record_heartbeat(self, upstream: fleet.Upstream) -> None:
        """Record an upstream's heartbeat and broadcast what changed."""
        self.runner.record_heartbeat(upstream)

    def record_departure(self, id_: str, born_ms: int) -> None:
        """Record that an upstream leaves, and broadcast it.

        Args:
            born_ms: start of the upstream, in milliseconds since 1970.
        """
        self.runner.record_departure(id_, born_ms)

    def explain(self, req: explanations.Request) -> explanations.Answer:
        """Return where a request would be sent now, without sending it.

        Raises:
            CassiashiftError: BAD_REQUEST, NOT_FOUND or NO_QUORUM.
        """
        return self.explainer.explain(req)

    async def commit(self, content: bytes) -> fleet.Standing:
        """Commit an operator's configuration to the log.

        Returns:
            how it compares with the configuration held before.

        Raises:
            InvalidDocumentError: the configuration is invalid.
            CassiashiftError: NO_QUORUM; it may still take effect.
        """
        table = self.dialect.decode_document(content)
        problems = routes.find_problems(table)
        if problems:
            raise dialect.InvalidDocumentError('; '.join(problems[:5]))
        self._require_voters()
        document = fleet.Document.from_content(
            table.version, tables.compress(content), content
        )
        result = await self._propose(
            commands.PutDocument(document), COMMIT_TIMEOUT_S
        )
        logs.info(
            'configuration_offered',
            version=table.version,
            standing=result.standing.value,
            in_force=result.version,
        )
        return result.standing

    async def newest_content(self) -> bytes:
        """Return the newest configuration as the operator sent it.

        Raises:
            CassiashiftError: NO_QUORUM when this entry can't find out which
                one is newest, NOT_FOUND when there is none.
        """
        version = await self.newest_version()
        if not version:
            raise CassiashiftError(
                ErrorCode.NOT_FOUND, 'no configuration was accepted yet'
            )
        if not await self.holder.wait_for(version, READ_TIMEOUT_S):
            raise CassiashiftError(
                ErrorCode.NO_QUORUM,
                f'version {version} has not arrived here yet',
                retry_after_s=0.5,
            )
        return self.holder.content

    async def newest_version(self) -> int:
        """Return the newest committed version, by a read through the log.

        Raises:
            CassiashiftError: NO_QUORUM when no majority answered in time.
        """
        return (await self.read_newest()).version

    async def read_newest(self) -> results.DocumentCompared:
        """Read the newest version and the evacuations through the log.

        The evacuations come into force here.

        Raises:
            CassiashiftError: NO_QUORUM when no majority answered in time.
        """
        result = await self._propose(
            commands.PutDocument(fleet.Document()), READ_TIMEOUT_S
        )
        self.evacuations.apply(result.evacuations, 'log')
        return result

    async def evacuate(self, data_centre: str, *, is_start: bool) -> None:
        """Start or end the evacuation of a data centre.

        Raises:
            CassiashiftError: NOT_FOUND; CONFLICT for a late order; NO_QUORUM,
                and it may still take effect.
        """
        received_at, at_s = time.monotonic(), time.time()
        evacuation.check_known(data_centre, self.cfg.data_centres)
        self._require_voters()
        view = self.evacuations.view
        if not view.is_known:
            await self.read_newest()
        order = evacuation.Order(
            data_centre, is_start, view.state.revision, at_s
        )
        try:
            await asyncio.sleep(CALL_SETTLED_S)
            standing = await self._propose_order(order, received_at)
        except CassiashiftError as exc:
            self.evacuations.record_order(order, exc.code.value)
            raise
        self.evacuations.record_order(order, standing.value)

    async def _propose_order(
        self, order: evacuation.Order, received_at: float
    ) -> evacuation.Standing:
        now, valid_s = time.monotonic(), self.cfg.bounds.order_s
        evacuation.check_fresh(received_at, now, valid_s)
        left_s = evacuation.remaining_s(received_at, now, valid_s)
        result = await self._propose(order, min(COMMIT_TIMEOUT_S, left_s))
        if not isinstance(result, results.EvacuationOrdered):
            raise CassiashiftError(
                ErrorCode.NO_QUORUM, 'the leader is of an earlier release'
            )
        self.evacuations.apply(result.evacuations, 'log')
        if result.standing is evacuation.Standing.TAKEN:
            self.evacuations.broadcast()
        evacuation.check_taken(order, result.standing)
        return result.standing

    async def _propose(self, command: Any, timeout_s: float) -> Any:
        addresses = self.proposer.voters
        addresses.clear()
        addresses.update(
            (host, self.cfg.link_of(host))
            for host in self.runner.voter_hosts()
        )
        return await self.proposer.propose(command, timeout_s)

    def _require_voters(self) -> None:
        """Raise NO_QUORUM while too few hosts vote for the tolerated losses.

        A deployment with fewer disks needs only as many voters as disks,
        once every host has had time to send a hello.
        """
        records = [*self.runner.live_records(), self.runner.own_record()]
        required_count = 2 * self.cfg.tolerated_losses + 1
        if time.monotonic() - self.started_at > FLEET_SETTLED_S:
            with_disk = sum(record.has_disk for record in records)
            required_count = min(required_count, with_disk)
        voter_count = max(len(record.founded) for record in records)
        if voter_count < max(1, required_count):
            raise CassiashiftError(
                ErrorCode.NO_QUORUM,
                f'{voter_count} of {required_count} voters are ready',
                retry_after_s=0.5,
            )


@attrs.define(eq=False)
class DirectoryApi:
    """Answers which entries a caller may connect to."""

    cfg: config.DirectConfig
    runner: fleet_runner.FleetRunner
    is_serving: Callable[[], bool]
    steering: fleet.Steering = attrs.field(factory=fleet.Steering)

    @property
    def is_ready(self) -> bool:
        """Whether callers may be sent to this entry."""
        return self.is_serving()

    def resolve(self, data_centre: str) -> DirectoryAnswer | None:
        """Return the entries for a caller; None if none is ready."""
        chosen = self.steering.choose(
            [*self.runner.responsive_records(), self.runner.own_record()],
            data_centre,
            time.monotonic(),
        )
        if not chosen:
            return None
        ttl_s = min(DIRECTORY_TTL_S, self.cfg.bounds.longest_ttl_s)
        return DirectoryAnswer(tuple(record.front for record in chosen), ttl_s)
