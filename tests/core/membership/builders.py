"""Builds data centres of entries and agents on a simulated network."""

import random

from cassiashift_core import manifest
from cassiashift_core import membership
from cassiashift_core.membership import events
from tests.scenarios import network


def contact(host):
    """Return the contact of a host, with port 7000."""
    return membership.Contact(host, f'{host}:7000')


def entry_names(count, data_centre='trnava'):
    """Return the host names of a data centre's entries."""
    return [f'{data_centre}-entry-{index}' for index in range(count)]


def agent_names(count, data_centre='trnava'):
    """Return the host names of a data centre's agents."""
    return [f'{data_centre}-agent-{index}' for index in range(count)]


def config(host, seeds, incarnation=1000, **options):
    """Return the settings of an entry or agent; a host is not its own seed."""
    options.setdefault('region', 'zapad')
    options.setdefault('data_centre', 'trnava')
    return membership.MembershipConfig(
        host=host,
        address=f'{host}:7000',
        incarnation=incarnation,
        seeds=tuple(contact(seed) for seed in seeds if seed != host),
        **options,
    )


def start_entry(net, host, seeds, incarnation=1000, **options):
    """Start an entry and return its state machine."""
    machine = membership.Membership.from_config(
        config(host, seeds, incarnation, **options),
        random.Random(f'{net.seed} {host} {incarnation}'),
    )
    net.add(host, machine, events)
    return machine


def start_agent(net, host, seeds, incarnation=1000, **options):
    """Start an agent with one upstream; return its state machine."""
    machine = membership.Announcer.from_config(
        config(host, seeds, incarnation, **options),
        random.Random(f'{net.seed} {host} {incarnation}'),
    )
    net.add(host, machine, events)
    net.deliver(host, events.UpstreamsChanged((upstream_of(host),)))
    return machine


def upstream_of(agent, **options):
    """Return the announcement of an agent's only upstream."""
    offer = manifest.Offer('draft', '1')
    return membership.Announcement(
        upstream=f'up-{agent}', offers=(offer,), **options
    )


def start_data_centre(
    seed, entries=6, agents=9, faults=None, data_centre='trnava', net=None
):
    """Return a network on which a data centre has just been started.

    It is added to ``net`` if that is given; the first three entries are the
    seeds.
    """
    faults = faults or network.Faults()
    net = net or network.Network(seed=seed, faults=faults)
    names = entry_names(entries, data_centre)
    for host in names:
        start_entry(net, host, names[:3], data_centre=data_centre)
    for host in agent_names(agents, data_centre):
        start_agent(net, host, names[:3], data_centre=data_centre)
    return net


def views(net, prefix):
    """Return the usable entries in the table of each running entry."""
    return {
        host: {record.host for record in node.machine.usable_entries()}
        for host, node in net.nodes.items()
        if node.running and prefix in host and 'entry' in host
    }
