"""Tests of blocks that entries of several data centres share."""

import random

import pytest
from testtools.assertions import assert_that
from testtools import ExpectedException
from testtools import matchers

from cassiashift_core import CassiashiftError
from cassiashift_core import membership
from cassiashift_core.membership import messages
from cassiashift_core import poison
from cassiashift_core import Verdict
from cassiashift_daemon import block_sharing
from cassiashift_daemon import peers
from cassiashift_daemon import request_guard
from cassiashift_net import links

CENTRES = {
    'trnava': ('entry-1', 'entry-3'),
    'nitra': ('entry-2', 'entry-4'),
}
SUBJECT = block_sharing.Subject('r1', 'identity', 'warehouse')


class Network:
    """Delivers messages among the guards of a deployment.

    Attributes:
        now: monotonic time in seconds.
        sent: sender, receiver and type of each message.
    """

    def __init__(self):
        self.now = 0.0
        self.guards = {}
        self.sent = []

    def add(self, host, data_centre):
        """Add the guard of an entry that knows a contact elsewhere."""
        member = membership.Membership.from_config(
            membership.MembershipConfig(
                host, address(host), 'zapad', data_centre, 1
            ),
            random.Random(1),
        )
        summaries = tuple(
            membership.Summary(
                'zapad',
                name,
                1,
                hosts[0],
                contacts=(membership.Contact(hosts[0], address(hosts[0])),),
            )
            for name, hosts in CENTRES.items()
            if name != data_centre
        )
        member.handle(
            membership.Received('seed', messages.SummaryPush(summaries)), 0.0
        )
        for other in CENTRES[data_centre]:
            record = membership.Record(
                other, membership.Kind.ENTRY, 1, address=address(other)
            )
            if other != host:
                member.handle(
                    membership.Received(other, messages.Announce(record)),
                    0.0,
                )
        self.guards[host] = request_guard.RequestGuard(
            host=host,
            peers=peers.Peers(Outgoing(self, host), member.address_of),
            member=member,
            rng=random.Random(2),
        )

    def monotonic(self):
        """Return the time."""
        return self.now

    def crash(self, host, number):
        """Let an upstream crash under the request at an entry."""
        self.now += 1.0
        self.guards[host].record_crash(SUBJECT, f'warehouse-{number}', number)

    def deliver(self, sender, receiver, message):
        """Handle a message at its receiver."""
        self.sent.append((sender, receiver, type(message)))
        origin = links.Sender(
            sender, lambda reply: self.deliver(receiver, sender, reply)
        )
        handler = self.guards[receiver].handlers()[type(message)]
        handler(origin, message)


class Outgoing:
    """The links of one host, without sockets."""

    def __init__(self, network, host):
        self.network = network
        self.host = host

    def send(self, to, message):
        """Deliver a message to the host at an address."""
        self.network.deliver(self.host, to.rpartition('/')[2], message)
        return True


def address(host):
    """Return the link address of a host."""
    return f'tcp://{host}'


@pytest.fixture
def network(monkeypatch):
    """Return the guards of two entries in each of two data centres."""
    network = Network()
    monkeypatch.setattr(block_sharing, 'time', network)
    for data_centre, hosts in CENTRES.items():
        for host in hosts:
            network.add(host, data_centre)
    return network


def block(network, host):
    """Let an entry see as many crashes as block a request."""
    for crash in (1, 2):
        network.crash(host, crash)


@pytest.mark.parametrize('host', sum(CENTRES.values(), ()))
def test_a_request_is_blocked_in_all_data_centres(network, host):
    block(network, 'entry-3')
    with ExpectedException(CassiashiftError, '.*crashes upstreams.*'):
        network.guards[host].sharing.check(SUBJECT, Verdict.MAY_HAVE_RUN)


def test_crashes_seen_in_different_data_centres_are_added_up(network):
    network.crash('entry-1', 1)
    network.crash('entry-4', 2)
    for guard in network.guards.values():
        assert_that(
            guard.sharing.table.blocked_count, matchers.Equals(1), guard.host
        )


def test_an_answer_clears_a_request_in_all_data_centres(network):
    block(network, 'entry-3')
    network.guards['entry-3'].sharing.record_answer(SUBJECT)
    for guard in network.guards.values():
        assert_that(
            guard.sharing.table.blocked_count, matchers.Equals(0), guard.host
        )


def test_an_entry_pulls_blocks_from_other_data_centres(network):
    block(network, 'entry-3')
    network.guards.pop('entry-2')
    network.add('entry-2', 'nitra')
    for _ in range(20):
        network.guards['entry-2'].pull()
    assert_that(
        network.guards['entry-2'].sharing.table.blocked_count,
        matchers.Equals(1),
    )


def test_pulled_blocks_that_are_known_are_not_relayed(network):
    block(network, 'entry-3')
    network.sent.clear()
    for _ in range(20):
        network.guards['entry-2'].pull()
    assert_that(
        [row for row in network.sent if row[2] is poison.BlockNews],
        matchers.AllMatch(
            matchers.AfterPreprocessing(
                lambda row: row[1], matchers.Equals('entry-2')
            )
        ),
    )
