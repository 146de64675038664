"""What a platform's adapter may ask of a direct entry."""

from collections.abc import Callable
import time

import attrs

from cassiashift_core import CassiashiftError
from cassiashift_core import ErrorCode
from cassiashift_core import fleet
from cassiashift_core import routes
from cassiashift_core.state import commands
from cassiashift_daemon.direct import config
from cassiashift_daemon.direct import dialect
from cassiashift_daemon.direct import fleet_runner
from cassiashift_daemon.direct import tables
from cassiashift_daemon import logs
from cassiashift_daemon import proposals

# Callers of the control surface move on after a second.
COMMIT_TIMEOUT_S = 2.5
READ_TIMEOUT_S = 0.8
# An unreachable voter is given up early enough to ask two others.
TRY_TIMEOUT_S = 0.4
# A host that is lost is named no longer than this; a look-up costs less
# than a connection that hangs.
DIRECTORY_TTL_S = 1.0
# All hosts of a system have started and spoken by then.
FLEET_SETTLED_S = 8.0


@attrs.frozen
class DirectoryAnswer:
    """Where a caller may connect, and for how long it may keep that."""

    addresses: tuple[str, ...]
    ttl_s: float


@attrs.define(eq=False)
class ControlApi:
    """Upstreams' announcements and operators' configurations."""

    cfg: config.DirectConfig
    dialect: dialect.Dialect
    runner: fleet_runner.FleetRunner
    holder: tables.TableHolder
    proposer: proposals.Proposer
    started_at: float = attrs.field(factory=time.monotonic)

    def announce(self, upstream: fleet.Upstream) -> None:
        """Take an upstream's announcement."""
        self.runner.announced(upstream)

    def leave(self, id_: str, born_ms: int) -> None:
        """Take an upstream's word that it takes no more work."""
        self.runner.left(id_, born_ms)

    async def commit(self, content: bytes) -> fleet.Standing:
        """Put an operator's configuration into the log.

        Returns:
            how it stood to the one that was held before.

        Raises:
            InvalidDocumentError: it can't be accepted.
            CassiashiftError: NO_QUORUM; it may still take effect.
        """
        table = self.dialect.decode_document(content)
        problems = routes.find_problems(table)
        if problems:
            raise dialect.InvalidDocumentError('; '.join(problems[:5]))
        self._check_voters()
        document = fleet.Document.from_content(
            table.version, tables.pack(content), content
        )
        result = await self._propose(document, COMMIT_TIMEOUT_S)
        logs.info(
            'configuration_offered',
            version=table.version,
            standing=result.standing.value,
            in_force=result.version,
        )
        return result.standing

    async def newest(self) -> bytes:
        """Return the operator's bytes of the newest configuration.

        Raises:
            CassiashiftError: NO_QUORUM when this entry can't know it,
                NOT_FOUND when there is none.
        """
        result = await self._propose(fleet.Document(), READ_TIMEOUT_S)
        if not result.version:
            raise CassiashiftError(
                ErrorCode.NOT_FOUND, 'no configuration was accepted yet'
            )
        if not await self.holder.wait_for(result.version, READ_TIMEOUT_S):
            raise CassiashiftError(
                ErrorCode.NO_QUORUM,
                f'version {result.version} has not arrived here yet',
                retry_after_s=0.5,
            )
        return self.holder.content

    async def _propose(self, document: fleet.Document, timeout_s: float):
        known = self.proposer.voters
        known.clear()
        known.update(
            (host, self.cfg.link_of(host))
            for host in self.runner.voter_hosts()
        )
        return await self.proposer.propose(
            commands.PutDocument(document), timeout_s
        )

    def _check_voters(self) -> None:
        """Accept nothing while fewer hosts vote than the losses need.

        A deployment with fewer disks than that is served as well, once all
        of them must have been heard.
        """
        records = [*self.runner.records(), self.runner.record()]
        wanted = 2 * self.cfg.tolerated_losses + 1
        if time.monotonic() - self.started_at > FLEET_SETTLED_S:
            with_disk = sum(record.has_disk for record in records)
            wanted = min(wanted, with_disk)
        founded = max(len(record.founded) for record in records)
        if founded < max(1, wanted):
            raise CassiashiftError(
                ErrorCode.NO_QUORUM,
                f'{founded} of {wanted} voters are ready',
                retry_after_s=0.5,
            )


@attrs.define(eq=False)
class DirectoryApi:
    """Which entries callers are sent to."""

    cfg: config.DirectConfig
    runner: fleet_runner.FleetRunner
    is_serving: Callable[[], bool]

    @property
    def is_ready(self) -> bool:
        """Tell whether callers may be sent to this entry."""
        return self.is_serving()

    def answer(self, data_centre: str) -> DirectoryAnswer | None:
        """Return the entries for a caller; None if none is known."""
        chosen = fleet.choose_entries(
            [*self.runner.responsive(), self.runner.record()], data_centre
        )
        if not chosen:
            return None
        ttl_s = min(DIRECTORY_TTL_S, self.cfg.bounds.longest_ttl_s)
        return DirectoryAnswer(tuple(record.front for record in chosen), ttl_s)
