"""All processes are killed while a pass of the group is held."""

import asyncio
import os
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'support'))

import deployment  # noqa: E402
import group as groups  # noqa: E402

# With TROUBLE=0 the disruption is left out.
HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
RECORD = FOLDER / 'record.txt'
SIZE = 8
CLIENTS = int(os.environ.get('CLIENTS', '24'))
# Of a client that waits for the next event; see PROTOCOL.md, Requests.
GAP_S = 2.0
DEADLINE_S = 8.05
DOWN_S = 1.0
# The orders to this rank that get no answer, and when they are carried out.
LATE_RANK = 5
MOST_LATE_ARMS = 3
LATE_S = 6.0
RECOVERY_S = 12.0
JUDGED_S = 20.0


class Load:
    """Clients in a closed loop; keeps when each request began and ended."""

    def __init__(self, site):
        """Start without a request."""
        self.site = site
        self.number = 0
        self.results = []

    async def run_forever(self, client):
        """Send one request after the other."""
        while True:
            self.number += 1
            id_ = f'q{self.number}'
            machine = self.site.fronts[(client + self.number) % 3]
            began_at = self.site.record.now
            headers = deployment.client_headers(id_, int(DEADLINE_S * 1000))
            headers |= {
                'Cassiashift-Model': 'm',
                'Cassiashift-Token-Usage': '800,140',
                'Cassiashift-Prefix-Hash': f'5c1e07a2:40,{self.number:x}:760',
            }
            status, events = await deployment.call_stream(
                machine.ip, '/quote/x', headers, GAP_S, DEADLINE_S
            )
            self.results.append((began_at, events == groups.EVENTS))
            self.site.record.write(
                'client', id_, 'at', machine.name, status, events
            )
            await asyncio.sleep(0.2 if events > 0 else 0.5)

    def share(self, from_s, to_s):
        """Return the share of the requests of a span that were served."""
        served = [ok for at, ok in self.results if from_s <= at < to_s]
        return sum(served) / len(served) if served else 0.0


class FinalFault:
    """Kills all processes once, right after a change was acknowledged.

    The change is sent as a switch of maps comes to hold a pass. The kill waits
    until the group waits at that pass.

    Attributes:
        began: set at the kill, or where it is left out.
    """

    def __init__(self, site, group):
        """Watch the orders and the passes of a group."""
        self.site, self.group = site, group
        self.began = asyncio.Event()
        self.change = None
        self.late_arms = 0
        group.on_wait = self.on_wait
        group.after_order = self.after_order
        if HAS_TROUBLE:
            group.on_order = self.on_order

    def on_order(self, rank, order):
        """Return the lateness of an order that gets no answer, or None."""
        if (
            self.change is not None
            and order['op'] == 'arm'
            and rank.number == LATE_RANK
            and self.late_arms < MOST_LATE_ARMS
        ):
            self.late_arms += 1
            return LATE_S
        return None

    def after_order(self, rank, order, status):
        """Send the change once a pass is held."""
        if (
            self.change is None
            and order['op'] == 'hold'
            and len(set(self.group.switched)) >= 2
        ):
            self.change = asyncio.ensure_future(self._change())

    def on_wait(self, step):
        """Kill the processes if the change is acknowledged."""
        self._strike()

    async def _change(self):
        document = groups.document(4)
        await self.site.put_until_acknowledged(
            document, self.site.record.now + 10.0
        )
        asyncio.get_running_loop().call_soon(self._strike)

    def _strike(self):
        """Kill all processes, or leave that out.

        While a rank isn't armed, no order to release can be under way.
        """
        if self.began.is_set() or self.change is None:
            return
        if not self.change.done():
            return
        if not HAS_TROUBLE:
            self.began.set()
            return
        ranks = self.group.ranks
        waits = any(rank.held == self.group.step + 1 for rank in ranks)
        if not waits or all(rank.armed for rank in ranks):
            return
        self.site.record.write('the group waits; last pass', self.group.step)
        self.began.set()
        for machine in self.site.machines:
            machine.send(signal.SIGKILL)


async def play(site):
    """Return whether requests are served again after all were killed."""
    record = site.record
    group = groups.Group(site, SIZE)
    await group.start()
    site.start()
    if not await site.put_until_acknowledged(groups.document(3), 20.0):
        raise deployment.CannotRunError('no configuration was accepted')
    if not await site.wait_ready(30.0):
        raise deployment.CannotRunError('the fronts are not ready')
    load = Load(site)
    for client in range(CLIENTS):
        asyncio.ensure_future(load.run_forever(client))
    began_at = record.now
    fault = FinalFault(site, group)
    try:
        async with asyncio.timeout(40.0):
            await fault.began.wait()
    except TimeoutError:
        raise deployment.CannotRunError('no pass was held') from None
    ended_at = record.now
    if HAS_TROUBLE:
        for machine in site.machines:
            machine.process.wait()
        await asyncio.sleep(DOWN_S)
        for machine in site.machines:
            machine.start()
    back_at = record.now
    await asyncio.sleep(RECOVERY_S + JUDGED_S + GAP_S)
    before = load.share(began_at, ended_at - 1.0)
    after = load.share(back_at + RECOVERY_S, record.now - GAP_S)
    holds = [rank.held for rank in group.ranks]
    record.write(f'last pass {group.step}, holds {holds}')
    record.write(f'share served before {before:.2f}, after {after:.2f}')
    if before < 0.25:
        raise deployment.CannotRunError('too little was served before')
    return after >= 0.25


if __name__ == '__main__':
    deployment.run(play, RECORD, plain=0, sides=SIZE, app_service='pisar')
