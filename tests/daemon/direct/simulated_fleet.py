"""Fleet runners of several hosts on one simulated clock and network."""

import collections
import random

import attrs

from cassiashift_core import fleet
from cassiashift_daemon.direct import api
from cassiashift_daemon.direct import config
from cassiashift_daemon.direct import fleet_runner
from cassiashift_daemon.direct import tables

DELAY_S = 0.01
DATA_CENTRES = ('a', 'b', 'c')
HOSTS = tuple(
    f'{centre}{number}' for centre in DATA_CENTRES for number in '123'
)
SEEDS = ('a1', 'b1', 'c1')


@attrs.define(eq=False)
class Process:
    """One process of a host, which may be stopped for a while."""

    fleet: 'SimulatedFleet'
    runner: fleet_runner.FleetRunner
    directory: api.DirectoryApi
    host: str
    is_stopped: bool = False
    waiting: list = attrs.field(factory=list)

    def receive(self, message):
        """Handle a message, or keep it while the process is stopped."""
        if self.is_stopped:
            self.waiting.append(message)
            return
        handler = self.runner.handlers().get(type(message))
        if handler is not None:
            handler(fleet_runner.links.Sender(self.host, None), message)

    def go_on(self):
        """Handle what arrived while the process was stopped."""
        self.is_stopped = False
        waiting, self.waiting = self.waiting, []
        for message in waiting:
            self.receive(message)


@attrs.define(eq=False)
class _Links:
    """Links of one process into the simulated network."""

    fleet: 'SimulatedFleet'
    host: str

    def send(self, address, message):
        """Send a message to a host."""
        to = address.split('/')[2].split(':')[0]
        self.fleet.send(self.host, to, message)


@attrs.define(eq=False)
class SimulatedFleet:
    """Hosts whose processes are killed, stopped and cut off.

    A message that a partition holds up arrives after it, also if its sender
    has ended, unless the process that it was sent to has.

    Attributes:
        processes: the running process of each host.
        ended_at: when the last process of a host ended.
        cut: pairs of hosts that don't reach each other.
    """

    rng: random.Random
    now: float = 1000.0
    wall_s: float = 1e6
    processes: dict = attrs.field(factory=dict)
    ended_at: dict = attrs.field(factory=dict)
    cut: set = attrs.field(factory=set)
    _in_flight: list = attrs.field(factory=list)
    _held: dict = attrs.field(factory=lambda: collections.defaultdict(list))

    def start(self, host):
        """Start a process, which doesn't know any other."""
        links = _Links(self, host)
        cfg = config.DirectConfig(
            host=host,
            data_centre=host[0],
            region='r',
            link_port=7,
            listeners=config.Listeners(front=f'{host}:80'),
            seeds=SEEDS,
            data_dir='data' if host in SEEDS else '',
        )
        runner = fleet_runner.FleetRunner(
            cfg=cfg,
            links=links,
            entries=fleet.EntryTable(host),
            upstreams=fleet.UpstreamTable(5.0, 30.0),
            holder=tables.TableHolder(None),
            started_ns=int((self.now + self.wall_s) * 1e9),
            is_ready=True,
            started_at=self.now,
        )
        directory = api.DirectoryApi(cfg, runner, lambda: True)
        self.processes[host] = Process(self, runner, directory, host)

    def kill(self, host):
        """End the process of a host."""
        if self.processes.pop(host, None) is not None:
            self.ended_at[host] = self.now

    def send(self, sender, receiver, message):
        """Send a message; it is lost if the receiver doesn't run."""
        process = self.processes.get(receiver)
        if process is None:
            return
        if frozenset((sender, receiver)) in self.cut:
            self._held[sender, receiver].append((process, message))
        else:
            at = self.now + DELAY_S
            self._in_flight.append((at, process, message))

    def heal(self):
        """End all partitions; deliver what they held up."""
        self.cut.clear()
        for messages in self._held.values():
            for process, message in messages:
                self._in_flight.append((self.now + DELAY_S, process, message))
        self._held.clear()

    def step(self):
        """Deliver messages, and tick every process that isn't stopped."""
        self.now += fleet_runner.TICK_S
        due = [item for item in self._in_flight if item[0] <= self.now]
        self._in_flight = [
            item for item in self._in_flight if item[0] > self.now
        ]
        for _, process, message in due:
            if self.processes.get(process.host) is process:
                process.receive(message)
        for process in list(self.processes.values()):
            if not process.is_stopped:
                process.runner.tick()

    def longest_ended_s(self):
        """Return how long the process that an answer names has ended.

        Over the answers of all processes for all data centres; 0 if all of
        those named run.
        """
        longest_s = 0.0
        for process in self.processes.values():
            if process.is_stopped:
                continue
            for centre in DATA_CENTRES:
                answer = process.directory.resolve(centre)
                for address in answer.addresses:
                    host = address.split(':')[0]
                    if host not in self.processes:
                        ended_s = self.now - self.ended_at[host]
                        longest_s = max(longest_s, ended_s)
        return longest_s
