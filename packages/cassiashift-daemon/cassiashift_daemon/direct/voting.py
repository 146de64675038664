"""Runs the voter of a host with a disk within the entry's process.

A disk that fails or stalls ends the voter, not the process; opening the data
folder is retried until it succeeds.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import random
import secrets
import time
from typing import Any

import attrs

from cassiashift_core import consensus
from cassiashift_core import evacuation
from cassiashift_core import fleet
from cassiashift_core import state
from cassiashift_daemon.direct import config
from cassiashift_daemon.direct import fleet_runner
from cassiashift_daemon import logs
from cassiashift_daemon import storage
from cassiashift_daemon import voter as voters
from cassiashift_net import links
from cassiashift_net import proposal_messages

ELECTION_TIMEOUT_S = 1.0
HEARTBEAT_S = 0.2
TICK_S = 0.1
# A configuration of a few hundred routes takes up to 10 KB compressed; a
# snapshot every 64 entries keeps the folder far below the smallest disk.
SNAPSHOT_EVERY_ENTRIES = 64
TRAILING_ENTRIES = 32
SEGMENT_BYTES = 1024 * 1024
# A small share of the time in which a change has to be acknowledged.
REOPEN_AFTER_S = 0.25
START_ID_BYTES = 8
CHANGE_INTERVAL_S = 0.1


class LinkAddresses(Mapping):
    """Maps every host to its link address, which follows from the port."""

    def __init__(self, cfg: config.DirectConfig) -> None:
        """Keep the settings, which hold the port of all links."""
        self._cfg = cfg

    def __getitem__(self, host: str) -> str:
        """Return the link address of a host."""
        return self._cfg.link_of(host)

    def __iter__(self) -> Iterator[str]:
        """Return an empty iterator: any host has an address."""
        return iter(())

    def __len__(self) -> int:
        """Return 0; see ``__iter__``."""
        return 0


@attrs.define(eq=False)
class VoterSupervisor:
    """Opens the voter of this host, and reopens it after a failure.

    Attributes:
        on_document: called with each committed configuration.
        on_evacuations: called with each committed state of evacuations.
        voter: None while the data folder can't be used.
    """

    cfg: config.DirectConfig
    deployment: str
    links: links.Links
    runner: fleet_runner.FleetRunner
    rng: random.Random
    on_document: Callable[[fleet.Document], None]
    on_evacuations: Callable[[evacuation.Evacuations], None] = (
        lambda evacuations: None
    )
    voter: voters.Voter | None = None
    _failed: asyncio.Event = attrs.field(factory=asyncio.Event)
    _changed_at: float = 0.0
    _changes: int = 0
    _is_folder_replaced: bool = False
    _contact: consensus.LeaderContact | None = None

    @property
    def is_leader(self) -> bool:
        """Whether this host is the leader of the log."""
        return self.voter is not None and self.voter.led_term is not None

    async def run_forever(self) -> None:
        """Open the data folder and run the voter, again after a failure."""
        clock = asyncio.ensure_future(self._advance_clock_while_closed())
        try:
            await self._reopen_forever()
        finally:
            clock.cancel()

    async def _reopen_forever(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                store = await loop.run_in_executor(None, self._open_store)
            except Exception as exc:
                # Caught broadly: only this loop opens the folder again.
                logs.error('folder_refused', reason=str(exc))
                await asyncio.sleep(REOPEN_AFTER_S)
                continue
            try:
                await self._run_voter(store)
            except Exception as exc:
                # Caught broadly for the same reason.
                logs.error('voter_failed', reason=repr(exc))
            finally:
                self.voter = None
                store.close()
            logs.warning('voter_reopens', after_s=REOPEN_AFTER_S)
            await asyncio.sleep(REOPEN_AFTER_S)

    def on_message(self, sender: links.Sender, message: Any) -> None:
        """Handle a message from another voter; dropped without a voter."""
        if self.voter is not None:
            self.voter.received(sender, message)

    def on_proposal(
        self, sender: links.Sender, message: proposal_messages.Proposal
    ) -> None:
        """Handle a proposal; only the leader appends it to the log."""
        if self.voter is None:
            sender.reply(
                proposal_messages.ProposalAnswer(
                    message.token, b'', 'not_leader'
                )
            )
        else:
            self.voter.propose(sender, message)

    def transfer_leadership(self) -> None:
        """Hand the leadership over before a planned stop."""
        if self.voter is not None:
            self.voter.hand_over()

    async def _advance_clock_while_closed(self) -> None:
        """Notice clock steps between two replicas, which share a contact."""
        while True:
            if self.voter is None and self._contact is not None:
                self._contact.advance(voters.boot_time_s())
            await asyncio.sleep(TICK_S)

    def _open_store(self) -> storage.Storage:
        return storage.Storage.open(
            self.cfg.data_dir,
            self.deployment,
            self.cfg.host,
            segment_bytes=SEGMENT_BYTES,
        )

    async def _run_voter(self, store: storage.Storage) -> None:
        saved = store.load()
        if self.runner.store_id not in ('', saved.incarnation):
            self._is_folder_replaced = True
        self.runner.store_id = saved.incarnation
        self._failed = asyncio.Event()
        self._open_voter(store, saved, await self._wait_for_founders(saved))
        voter = self.voter
        sync = asyncio.ensure_future(voter.sync_forever())
        try:
            await self._tick_until_failed()
        except Exception as exc:
            logs.error('voter_failed', reason=repr(exc))
        finally:
            sync.cancel()
            self.voter = None
        # Two writers of one folder would damage it.
        await voter.wait_written()

    async def _wait_for_founders(
        self, saved: consensus.SavedState
    ) -> tuple[str, ...]:
        """Return the first voter set if this host founds the log.

        Waits until that is decided. The result is empty if the log exists or
        another host founds it.
        """
        if saved.entries or saved.snapshot is not None:
            return ()
        waiting_since = time.monotonic()
        while True:
            decision = fleet.decide_bootstrap(
                self.runner.own_record(),
                self.cfg.seeds,
                self.runner.live_records(),
                self.cfg.is_first_start and not self._is_folder_replaced,
                time.monotonic() - waiting_since,
            )
            if decision is not fleet.BootstrapAction.WAIT:
                logs.info('log_' + decision.value, host=self.cfg.host)
                is_founder = decision is fleet.BootstrapAction.FOUND
                return (self.cfg.host,) if is_founder else ()
            await asyncio.sleep(TICK_S)

    def _open_voter(
        self,
        store: storage.Storage,
        saved: consensus.SavedState,
        founders: tuple[str, ...],
    ) -> None:
        replica = consensus.Replica.from_config(
            consensus.ReplicaConfig(
                host=self.cfg.host,
                voters=founders,
                election_timeout_s=ELECTION_TIMEOUT_S,
                heartbeat_s=HEARTBEAT_S,
                start=secrets.token_hex(START_ID_BYTES),
                snapshot_every_entries=SNAPSHOT_EVERY_ENTRIES,
                trailing_entries=TRAILING_ENTRIES,
            ),
            saved,
            self.rng,
            self._contact,
        )
        self._contact = replica.contact
        self.voter = voters.Voter(
            replica=replica,
            store=store,
            machine=state.StateMachine(),
            links=self.links,
            addresses=LinkAddresses(self.cfg),
            on_event=_ignore_event,
            on_failed=self._on_failed,
            on_document=self.on_document,
            on_evacuations=self.on_evacuations,
        )
        logs.info(
            'voter_opened',
            folder=saved.incarnation,
            entries=len(saved.entries),
            last_index=replica.log.last_index,
            committed=replica.commit_index,
            term=saved.hard_state.term,
            founds=bool(founders),
        )

    async def _tick_until_failed(self) -> None:
        while not self._failed.is_set():
            self.voter.tick()
            self._publish_voters()
            self._change_voters()
            try:
                async with asyncio.timeout(TICK_S):
                    await self._failed.wait()
            except TimeoutError:
                continue

    def _publish_voters(self) -> None:
        hosts = self.voter.replica.voters.voter_hosts
        if hosts != self.runner.log_voters:
            logs.info('voters_changed', voters=','.join(hosts))
            self.runner.log_voters = hosts

    def _change_voters(self) -> None:
        now = time.monotonic()
        if not self.is_leader or now - self._changed_at < CHANGE_INTERVAL_S:
            return
        self._changed_at = now
        alive = self.runner.live_records()
        change = fleet.next_voter_change(
            self.voter.replica.voters,
            self.cfg.host,
            alive,
            self.cfg.tolerated_losses,
        )
        if change is None:
            return
        add, remove = change
        self._changes += 1
        token = f'{self.cfg.host}/voters/{self._changes}'
        logs.info('voter_change', add=add, remove=remove)
        stores = {record.host: record.store for record in alive}
        self.voter.handle(
            consensus.ChangeVoters(token, add, remove, stores.get(add, ''))
        )

    def _on_failed(self, reason: str) -> None:
        logs.error('voter_failed', reason=reason)
        self._failed.set()


def _ignore_event(event: Any) -> None:
    """Ignore the voter's events, which concern manifests only."""
