"""Tests of the distribution of revisions."""

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import spread
from cassiashift_core.spread import control
from cassiashift_core.spread import events
from cassiashift_core.spread import messages
from cassiashift_core.spread import quorum
from cassiashift_core.spread import snapshots
from cassiashift_core.spread import spreader
from cassiashift_core.spread import window
from tests.core.spread import builders
from tests.scenarios import network

IN_FORCE_S = 4.0
BAD_LINKS = network.Faults(delay_s=(0.001, 0.08), loss=0.1, copies=0.1)


def build(seed, **options):
    """Return a settled tree with a few revisions in force."""
    tree = builders.Tree.build(seed, **options)
    for _ in range(5):
        tree.commit()
    tree.net.run(10)
    return tree


def assert_in_force(tree):
    assert_that(tree.hosts_behind(), matchers.Equals([]))
    assert_that(tree.violations, matchers.Equals([]))


def drop_pushes(sender, receiver, message):
    return getattr(message, 'push', False)


@pytest.mark.parametrize('seed', range(5))
def test_revision_is_in_force_everywhere_when_every_push_is_lost(seed):
    tree = build(seed)
    tree.net.drop = drop_pushes
    tree.commit()
    tree.net.run(IN_FORCE_S)
    assert_in_force(tree)


@pytest.mark.parametrize('seed', range(3))
def test_pushed_revision_is_in_force_within_30_ms(seed):
    tree = build(seed)
    tree.commit()
    tree.net.run(0.03)
    assert_in_force(tree)


@pytest.mark.parametrize('seed', range(5))
def test_dead_parent_on_each_level_does_not_exceed_the_bound(seed):
    tree = build(seed, sizes=(3, 3, 4, 8))
    for host in ('c1', 'r0', 'e1'):
        tree.net.stop(host)
    tree.net.drop = drop_pushes
    tree.commit()
    tree.net.run(IN_FORCE_S)
    assert_in_force(tree)


@pytest.mark.parametrize('seed', range(4))
def test_revisions_only_rise_on_bad_links_with_restarts(seed):
    tree = build(seed, faults=BAD_LINKS, window_deltas=20)
    for step in range(40):
        tree.commit()
        tree.net.run(0.3)
        if step % 4 == 0:
            host = tree.net.rng.choice(tree.hosts()[3:])
            tree.start(host)
    tree.net.run(20)
    assert_in_force(tree)


def test_snapshot_is_pulled_only_when_the_deltas_are_gone():
    tree = build(1, window_deltas=10)
    before = tree.states['e0'].snapshots
    tree.net.cut(['e0'], tree.levels[1])
    for _ in range(8):
        tree.commit()
    tree.net.run(5)
    tree.net.heal()
    tree.net.run(5)
    assert_that(tree.states['e0'].snapshots, matchers.Equals(before))
    tree.net.cut(['e0'], tree.levels[1])
    for _ in range(30):
        tree.commit()
    tree.net.run(5)
    tree.net.heal()
    tree.net.run(5)
    assert_that(tree.states['e0'].snapshots, matchers.Equals(before + 1))
    assert_in_force(tree)


def test_snapshot_below_the_minimum_revision_is_followed_by_deltas():
    tree = build(13, sizes=(3, 1, 2), window_deltas=10)
    for _ in range(12):
        tree.commit()
    tree.start('e0')
    tree.net.run(2)
    for _ in range(3):
        tree.commit()
    tree.net.run(2)
    tree.start('e1')
    tree.net.run(4)
    assert_in_force(tree)


def test_large_snapshot_arrives_in_parts_over_bad_links():
    tree = builders.Tree.build(3, sizes=(3, 1), faults=BAD_LINKS)
    tree.net.stop('r0')
    tree.log = list(range(1, 60_000))
    tree.held = dict.fromkeys(tree.voters, tree.log)
    data = msgspec.msgpack.encode(tree.log)
    for host in tree.voters:
        tree.net.deliver(host, events.Restored(tree.head, data))
    assert_that(len(data), matchers.GreaterThan(2 * 65_536))
    tree.start('r0')
    tree.net.run(20)
    assert_in_force(tree)


def test_restart_of_all_at_once_after_hundreds_of_changes():
    tree = build(2, window_deltas=50)
    for _ in range(300):
        tree.commit()
    tree.net.run(5)
    head = tree.head
    for host in tree.hosts():
        tree.start(host)
    tree.net.run(2)
    ready = [host for host in tree.hosts() if tree.states[host].ready]
    assert_that(ready, matchers.Equals([]))
    tree.learn(tree.voters)
    tree.net.run(10)
    assert_that(tree.head, matchers.Equals(head))
    assert_in_force(tree)


def test_cut_off_region_keeps_serving_and_reports_it():
    tree = build(4)
    region = ['r1', 'e0', 'a0']
    rest = [host for host in tree.hosts() if host not in region]
    tree.net.cut(region, rest)
    head = tree.head
    tree.commit()
    tree.net.run(15)
    for host in region:
        status = tree.status(host)
        assert_that(status.cut_off, matchers.Equals(True))
        assert_that(status.phase, matchers.Is(spread.Phase.READY))
        assert_that(status.revision, matchers.Equals(head))
    assert_that(tree.status('e1').cut_off, matchers.Equals(False))
    tree.net.heal()
    tree.net.run(5)
    assert_that(tree.status('a0').cut_off, matchers.Equals(False))
    assert_in_force(tree)


def test_isolated_control_host_reports_that_it_is_cut_off():
    tree = build(5)
    others = [host for host in tree.hosts() if host != 'c0']
    tree.net.cut(['c0'], others)
    tree.commit(knowing=['c1', 'c2'], holding=['c1', 'c2'])
    tree.net.run(IN_FORCE_S)
    assert_that(tree.hosts_behind(), matchers.Equals(['c0']))
    tree.net.run(10)
    assert_that(tree.status('c0').cut_off, matchers.Equals(True))
    assert_that(tree.violations, matchers.Equals([]))


def test_host_without_a_quorum_of_voters_does_not_serve():
    tree = build(6)
    tree.net.cut(['e0'], ['c0', 'c1'])
    tree.start('e0')
    tree.net.run(20)
    phase = tree.status('e0').phase
    assert_that(phase, matchers.Is(spread.Phase.RECOVERING))
    tree.net.heal()
    tree.net.run(5)
    assert_in_force(tree)


def test_children_of_a_full_parent_subscribe_elsewhere():
    tree = build(7, sizes=(1, 2, 6))
    for host in ('r0', 'r1'):
        tree.machine(host)._children.limit = 3
    for host in tree.levels[2]:
        tree.start(host)
    tree.net.run(30)
    sizes = [len(tree.machine(host)._children) for host in ('r0', 'r1')]
    assert_that(sizes, matchers.Equals([3, 3]))


def restart_beside_a_stale_voter_and_parent():
    """Return the violations when a host restarts with stale peers only.

    It reaches one voter and one relay, neither of which knows of the last
    revision, which was in force on the host before.
    """
    tree = build(8, sizes=(3, 2, 1))
    tree.net.cut(['c2', 'r1'], ['c0', 'c1'])
    tree.commit(knowing=['c0', 'c1'], holding=['c0', 'c1'])
    tree.net.run(IN_FORCE_S)
    tree.net.cut(['e0'], ['c0', 'c1', 'r0'])
    tree.start('e0')
    tree.net.run(10)
    tree.net.heal()
    tree.net.run(10)
    return tree.violations


def release_before_a_majority_knows():
    """Return the violations when the only informed voter is killed."""
    tree = build(9, sizes=(3, 2, 1))
    tree.commit(knowing=['c0'], holding=['c0', 'c1'])
    tree.net.run(IN_FORCE_S)
    tree.net.stop('c0')
    for host in ('r0', 'r1', 'e0'):
        tree.start(host)
    tree.net.run(10)
    return tree.violations


def read_from_a_voter_that_lost_its_commit_index():
    """Return the violations when a voter restarts with an old snapshot.

    The only other voter that knew of the last revision is down.
    """
    tree = build(10, sizes=(3, 2, 1))
    before = tree.head
    tree.commit(knowing=['c0', 'c1'], holding=['c0', 'c1'])
    tree.net.run(IN_FORCE_S)
    tree.net.stop('c0')
    tree.start('c1')
    tree.learn(['c1'], index=before)
    for host in ('r0', 'r1', 'e0'):
        tree.start(host)
    tree.net.run(10)
    return tree.violations


HAZARDS = [
    restart_beside_a_stale_voter_and_parent,
    release_before_a_majority_knows,
    read_from_a_voter_that_lost_its_commit_index,
]


@pytest.mark.parametrize('hazard', HAZARDS)
def test_no_hazard_reverts_to_an_older_revision(hazard):
    assert_that(hazard(), matchers.Equals([]))


def apply_any_delta(self, message, sender, now):
    """Apply deltas without a check of their revisions: a planted fault."""
    return [
        effect
        for delta in message.items
        for effect in self._apply_delta(delta)
    ]


def test_check_detects_a_lower_revision(monkeypatch):
    tree = build(11, faults=BAD_LINKS)
    monkeypatch.setattr(spreader.Spreader, '_apply_deltas', apply_any_delta)
    for _ in range(20):
        tree.commit()
        tree.net.run(0.1)
    assert_that(tree.violations, matchers.Not(matchers.Equals([])))


@pytest.mark.parametrize(
    ('hazard', 'owner', 'name', 'fault'),
    [
        (
            restart_beside_a_stale_voter_and_parent,
            quorum.QuorumRead,
            'is_complete',
            lambda self, voters: bool(self.answers),
        ),
        (
            release_before_a_majority_knows,
            control.Control,
            'released_revision',
            control.Control.own_revision,
        ),
        (
            read_from_a_voter_that_lost_its_commit_index,
            control.Control,
            'has_recovered',
            True,
        ),
    ],
    ids=['trust one peer', 'release at once', 'answer at once'],
)
def test_check_detects_a_planted_fault(
    monkeypatch, hazard, owner, name, fault
):
    monkeypatch.setattr(owner, name, fault)
    assert_that(hazard(), matchers.Not(matchers.Equals([])))


def test_late_answer_to_an_earlier_start_is_ignored():
    tree = build(12)
    machine = tree.machine('e0')
    tree.net.stop('e0')
    reply = messages.RevisionReply(machine._quorum_read.nonce, 0)
    tree.start('e0')
    for voter in tree.voters:
        tree.net.deliver('e0', events.Received(voter, reply))
    phase = tree.status('e0').phase
    assert_that(phase, matchers.Is(spread.Phase.RECOVERING))


def test_window_is_bounded_in_count_and_bytes():
    deltas = window.Window(max_deltas=5, max_bytes=100)
    for revision in range(1, 50):
        deltas.append(messages.Delta(revision, revision - 1, b'x' * 30))
        assert_that(deltas.size_bytes, matchers.LessThan(101))
    assert_that(deltas, matchers.HasLength(3))
    assert_that(deltas.since(40), matchers.Is(None))
    assert_that(deltas.since(46), matchers.HasLength(3))
    assert_that(deltas.since(49), matchers.Equals(()))


def test_snapshot_part_over_the_size_or_out_of_order_is_refused():
    download = snapshots.Download('r0', 0.0)
    large = b'x' * (snapshots.PART_BYTES + 1)
    refused = [
        messages.SnapshotPart(5, 0, 2, 1, large),
        messages.SnapshotPart(5, 0, snapshots.MAX_PARTS + 1, 1, b'x'),
        messages.SnapshotPart(5, 1, 2, 1, b'x'),
    ]
    for part in refused:
        assert_that(download.add_part(part), matchers.Equals(False))


def test_damaged_snapshot_is_not_applied():
    download = snapshots.Download('r0', 0.0)
    part = messages.SnapshotPart(5, 0, 1, 12345, b'damaged')
    assert_that(download.add_part(part), matchers.Equals(True))
    assert_that(download.assemble(part), matchers.Is(None))


def test_changed_voters_and_parents_are_used_at_once():
    tree = build(14, sizes=(3, 2, 2))
    tree.net.cut(['e0'], ['c0', 'c1', 'r0'])
    tree.start('e0')
    tree.net.run(5)
    phase = tree.status('e0').phase
    assert_that(phase, matchers.Is(spread.Phase.RECOVERING))
    changed = events.VotersChanged(voters=('c2',), parents=('r1',))
    tree.net.deliver('e0', changed)
    tree.net.run(5)
    assert_in_force(tree)


def test_control_host_restored_from_a_snapshot_serves_its_children():
    tree = build(15, sizes=(3, 2, 2))
    tree.net.cut(['c0'], [host for host in tree.hosts() if host != 'c0'])
    for _ in range(30):
        tree.commit(knowing=['c1', 'c2'], holding=['c1', 'c2'])
    tree.net.run(5)
    tree.net.heal()
    data = msgspec.msgpack.encode(tree.log)
    tree.net.deliver('c0', events.Restored(tree.head, data))
    tree.net.stop('c1')
    tree.commit(knowing=['c0', 'c2'], holding=['c0', 'c2'])
    tree.net.run(IN_FORCE_S)
    assert_in_force(tree)


def test_unknown_message_is_ignored_and_unknown_event_raises():
    tree = build(16, sizes=(3, 1))
    machine = tree.machine('r0')
    assert_that(
        machine.handle(events.Received('x', object()), 0.0),
        matchers.Equals([]),
    )
    with pytest.raises(TypeError):
        machine.handle(object(), 0.0)
