"""Tests of the coordinators of map switches next to a replica."""

import asyncio
import random
from typing import Any

import attrs
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core.balancing import maps
from cassiashift_core import CassiashiftError
from cassiashift_core import consensus
from cassiashift_core import ErrorCode
from cassiashift_core import manifest
from cassiashift_core import mapswitch
from cassiashift_core import state
from cassiashift_daemon import coordination
from cassiashift_daemon import shared_state
from cassiashift_daemon import voter
from cassiashift_net import links
from cassiashift_net import messages

EXPERTS = tuple(range(256))
GROUP = 'moe'
RANKS = ('r0', 'r1', 'r2')
TURNS = 400
TICK_S = 0.05


def group_manifest():
    upstreams = tuple(
        manifest.Upstream(
            id=f'up-{rank}', host=f'host-{rank}', data_centre='d'
        )
        for rank in RANKS
    )
    ranks = tuple(
        manifest.Rank(id=rank, upstream=f'up-{rank}', slots=4)
        for rank in RANKS
    )
    return manifest.Manifest(
        name='m',
        regions=(
            manifest.Region(
                id='z', data_centres=(manifest.DataCentre(id='d'),)
            ),
        ),
        upstreams=upstreams,
        groups=(
            manifest.Group(id=GROUP, model='x', data_centre='d', ranks=ranks),
        ),
    )


@attrs.define(eq=False)
class Rank:
    """An agent and its engine, which loads weights without delay.

    Attributes:
        step: the next step.
        versions: version of the map by step.
    """

    name: str
    machine: mapswitch.RankSwitch
    step: int = 0
    versions: dict = attrs.field(factory=dict)


@attrs.define(eq=False)
class Bench:
    """One voter, its coordination and three ranks, without sockets.

    Attributes:
        clock: a list with the boot time that the voter sees.
        failures: reasons with which the voter has failed.
    """

    clock: list
    voter: Any = None
    coordination: Any = None
    ranks: dict = attrs.field(factory=dict)
    now: float = 0.0
    failures: list = attrs.field(factory=list)

    def host_of(self, sender):
        """Return the host of a sender."""
        return sender.host

    def send(self, host, message):
        """Deliver an order to its rank."""
        rank = self.ranks[host.removeprefix('host-')]
        assert_that(message.rank, matchers.Equals(rank.name))
        order = messages.ORDERS.decode(message.data)
        self.handle_event(rank, mapswitch.Received(order))

    def handle_event(self, rank, event):
        """Pass an event to a rank's machine and carry out its effects."""
        for effect in rank.machine.handle(event, self.now):
            if isinstance(effect, mapswitch.LoadWeights):
                loaded = mapswitch.WeightsLoaded(effect.version)
                asyncio.get_running_loop().call_soon(
                    self.handle_event, rank, loaded
                )
            elif isinstance(effect, mapswitch.SendToCoordinator):
                self.report(f'host-{rank.name}', effect.message)

    def report(self, host, report):
        """Deliver a report to the coordination as if sent by a host."""
        sender = links.Sender(host, lambda message: None)
        data = messages.CODEC.encode(report)
        asyncio.get_running_loop().call_soon(
            lambda: self.coordination.received(
                sender, messages.CODEC.decode(data)
            )
        )

    def restart_rank(self, name, incarnation):
        """Restart a rank's agent with empty state; the engine goes on."""
        machine = mapswitch.RankSwitch.from_config(
            mapswitch.RankConfig(GROUP, name, incarnation)
        )
        step = self.ranks[name].step if name in self.ranks else 0
        versions = self.ranks[name].versions if name in self.ranks else {}
        self.ranks[name] = Rank(name, machine, step, versions)

    def start_steps(self):
        """Start the next step at each rank that is not ahead and may start.

        Ranks run in lock-step: none is more than one step ahead.
        """
        lowest = min(rank.step for rank in self.ranks.values())
        for rank in self.ranks.values():
            if rank.step > lowest:
                continue
            verdict = rank.machine.may_start(rank.step, self.now)
            if isinstance(verdict, mapswitch.Proceed):
                rank.versions[rank.step] = verdict.version
                rank.step += 1

    async def run_until(self, done):
        """Advance time until a condition holds, at most ``TURNS`` ticks."""
        for _ in range(TURNS):
            self.now += TICK_S
            self.clock[0] += TICK_S
            self.voter.tick()
            persisted, self.voter._unsynced = self.voter._unsynced, []
            if persisted:
                self.voter.handle(consensus.Synced(persisted[-1].sequence))
            self.coordination.tick()
            for rank in self.ranks.values():
                self.handle_event(rank, mapswitch.Tick())
            self.start_steps()
            for _ in range(5):
                await asyncio.sleep(0)
            if done():
                return
        raise AssertionError(f'condition not met in {TURNS} ticks')

    def standing(self):
        """Return the standing of the group in the log's state."""
        decisions = self.voter.machine.groups.get(GROUP)
        return decisions.standing if decisions else mapswitch.Standing()

    async def switch(self, body):
        """Request a switch and run until it is decided."""
        request = mapswitch.SwitchRequested(RANKS, body)
        self.coordination.request(GROUP, request)
        version = self.standing().decided + 1
        await self.run_until(lambda: self.standing().decided == version)

    def assert_one_map_per_step(self):
        """Check that no step ran with two maps on different ranks."""
        steps = min(rank.step for rank in self.ranks.values())
        for step in range(steps):
            used = {rank.versions[step] for rank in self.ranks.values()}
            assert_that(used, matchers.HasLength(1), f'step {step}')


@pytest.fixture
async def bench(monkeypatch):
    """Return a bench whose voter leads and whose ranks are steady."""
    clock = [100.0]
    monkeypatch.setattr(voter, 'boot_time_s', lambda: clock[0])
    created = Bench(clock)
    replica = consensus.Replica.from_config(
        consensus.ReplicaConfig(host='v', voters=('v',)),
        consensus.SavedState(incarnation='i'),
        random.Random(1),
    )
    created.voter = voter.Voter(
        replica=replica,
        store=None,
        machine=state.StateMachine(),
        links=None,
        addresses={},
        on_event=lambda event: None,
        on_failed=created.failures.append,
    )
    holder = shared_state.SharedHolder()
    items = manifest.to_items(group_manifest())
    holder.apply_delta(
        state.SharedDelta(1, manifest.make_delta({}, items)).encode()
    )
    created.coordination = coordination.Coordination.attach_to(
        created.voter, created, holder
    )
    for rank in RANKS:
        created.restart_rank(rank, f'{rank}/1')
    await created.run_until(lambda: created.voter.led_term is not None)
    await created.run_until(
        lambda: all(
            rank.machine.state == 'steady' for rank in created.ranks.values()
        )
    )
    return created


async def test_two_switches_reach_every_rank(bench):
    await bench.switch(b'first')
    await bench.run_until(
        lambda: all(rank.step > 5 for rank in bench.ranks.values())
    )
    await bench.switch(b'second')
    step = bench.standing().current.step
    await bench.run_until(
        lambda: all(rank.step > step + 5 for rank in bench.ranks.values())
    )
    bench.assert_one_map_per_step()
    for rank in bench.ranks.values():
        assert_that(rank.versions[step - 1], matchers.Equals(1))
        assert_that(rank.versions[step], matchers.Equals(2))


async def test_a_restarted_rank_gets_the_current_map(bench):
    await bench.switch(b'first')
    await bench.run_until(
        lambda: all(rank.step > 5 for rank in bench.ranks.values())
    )
    bench.restart_rank('r1', 'r1/2')
    reached = bench.ranks['r1'].step
    await bench.run_until(
        lambda: all(rank.step > reached + 5 for rank in bench.ranks.values())
    )
    bench.assert_one_map_per_step()


async def test_a_second_request_during_a_switch_is_refused(bench):
    request = mapswitch.SwitchRequested(RANKS, b'first')
    bench.coordination.request(GROUP, request)
    with pytest.raises(CassiashiftError) as caught:
        bench.coordination.request(GROUP, request)
    assert_that(caught.value.code, matchers.Equals(ErrorCode.CONFLICT))


async def test_a_group_without_a_coordinator_yet_is_not_unknown(bench):
    del bench.coordination.coordinators[GROUP]
    request = mapswitch.SwitchRequested(RANKS, b'first')
    try:
        bench.coordination.request(GROUP, request)
    except CassiashiftError as exc:
        assert_that(exc.code, matchers.Not(matchers.Is(ErrorCode.NOT_FOUND)))
    with pytest.raises(CassiashiftError) as caught:
        bench.coordination.request('other', request)
    assert_that(caught.value.code, matchers.Is(ErrorCode.NOT_FOUND))


@pytest.mark.parametrize(
    'body',
    [
        b'junk',
        maps.ExpertMap((), ()).to_bytes(),
        maps.ExpertMap(('r0', 'r0'), (((0,), (1,)),)).to_bytes(),
        maps.ExpertMap(('r0', 'r9'), ((EXPERTS, ()),)).to_bytes(),
        maps.ExpertMap(('r0', 'r1'), (((0,), (1,)),)).to_bytes(),
        maps.ExpertMap(('r0', 'r1'), ((EXPERTS,),)).to_bytes(),
        maps.ExpertMap(('r0', 'r1'), ()).to_bytes(),
    ],
)
async def test_a_map_that_does_not_fit_is_refused(bench, body):
    with pytest.raises(CassiashiftError) as caught:
        bench.coordination.request_map(GROUP, body, '')
    assert_that(caught.value.code, matchers.Equals(ErrorCode.BAD_REQUEST))


async def test_a_map_that_fits_is_committed(bench):
    body = maps.ExpertMap(('r0', 'r1'), ((EXPERTS, ()),)).to_bytes()
    bench.coordination.request_map(GROUP, body, '')
    await bench.run_until(lambda: bench.standing().decided == 1)
    current = bench.standing().current
    assert_that(current.ranks, matchers.Equals(('r0', 'r1')))


async def test_a_report_from_another_host_is_dropped(bench):
    machine = bench.coordination.coordinators[GROUP]
    unchanged = dict(machine.roster.incarnations)
    forged = mapswitch.Ask(GROUP, 'r0', 'forged', 'nonce')
    bench.report('host-r1', forged)
    for _ in range(5):
        await asyncio.sleep(0)
    assert_that(machine.roster.incarnations, matchers.Equals(unchanged))


async def test_a_failed_coordinator_is_replaced(bench, monkeypatch):
    await bench.switch(b'first')
    broken = bench.coordination.coordinators[GROUP]
    monkeypatch.setattr(broken, 'handle', lambda event, now: 1 / 0)
    await bench.run_until(
        lambda: (
            bench.coordination.coordinators.get(GROUP) not in (None, broken)
        )
    )
    await bench.switch(b'second')
    assert_that(bench.standing().current.version, matchers.Equals(2))
    bench.assert_one_map_per_step()
    assert_that(bench.failures, matchers.Equals([]))
