"""Processes of entries and agents, and stand-ins behind them."""

import os
import pathlib
import signal
import subprocess
import sys
from typing import Any

import attrs

from cassiashift_daemon import access
from tools.cluster import addresses
from tools.standins import engine
from tools.standins import host as standin_host
from tools.standins import records
from tools.standins import service

OPERATOR_KEY = 'operator-key'
STOP_TIMEOUT_S = 5.0
REGION = 'zapad'


@attrs.define
class Daemon:
    """One process and the arguments to restart it with."""

    name: str
    ip: str
    arguments: list[str]
    process: subprocess.Popen | None = None

    def is_running(self) -> bool:
        """Return whether the process was started and has not ended."""
        return self.process is not None and self.process.poll() is None


@attrs.frozen
class Placement:
    """An upstream and the host of its agent."""

    host: str
    data_centre: str
    upstream: str
    is_engine: bool


@attrs.define(eq=False)
class Cluster:
    """All processes of a deployment.

    Attributes:
        folder: holds the data folders and the logs.
        options: additional command line arguments by role.
        module: the module that is run.
        urls: base URLs of the stand-ins by upstream.
    """

    folder: pathlib.Path
    addresses: addresses.Addresses
    options: dict[str, list[str]] = attrs.field(factory=dict)
    daemons: dict[str, Daemon] = attrs.field(factory=dict)
    standins: dict[str, Any] = attrs.field(factory=dict)
    urls: dict[str, str] = attrs.field(factory=dict)
    servers: standin_host.StandinServers = attrs.field(
        factory=standin_host.StandinServers
    )
    voters: dict[str, str] = attrs.field(factory=dict)
    module: str = 'cassiashift_daemon.main'
    entries: dict[str, tuple[str, str]] = attrs.field(factory=dict)

    @classmethod
    def in_folder(cls, folder: pathlib.Path, **options: list[str]):
        """Return a cluster without processes; ``options`` are by role."""
        return cls(folder, addresses.Addresses.for_this_process(), options)

    def add_entries(self, hosts: dict[str, str], voters: int) -> None:
        """Prepare entries, given as data centre by host.

        The first ``voters`` of them are voters.
        """
        ips = {host: self.addresses.allocate() for host in hosts}
        for host, data_centre in hosts.items():
            link = f'tcp://{ips[host]}:{addresses.LINK_PORT}'
            self.entries[host] = (data_centre, link)
        for host in list(hosts)[:voters]:
            self.voters[host] = f'tcp://{ips[host]}:{addresses.LINK_PORT}'
        for host, data_centre in hosts.items():
            arguments = self._common_arguments(
                'entry', host, data_centre, ips[host]
            )
            arguments += ['--http', f'{ips[host]}:{addresses.HTTP_PORT}']
            arguments += [
                '--operator-key-hash',
                access.key_hash(OPERATOR_KEY),
            ]
            if host in self.voters:
                arguments += ['--data-dir', str(self.folder / host)]
            self.daemons[host] = Daemon(host, ips[host], arguments)

    async def add_upstream(
        self, placement: Placement, **traits: float
    ) -> None:
        """Serve a stand-in and prepare its agent."""
        ip = self.addresses.allocate()
        if placement.is_engine:
            standin = engine.Engine(placement.upstream, **traits)
        else:
            standin = service.PlainService(placement.upstream, **traits)
        self.standins[placement.upstream] = standin
        url = await self.servers.serve(
            standin.app(), ip, addresses.STANDIN_PORT
        )
        self.urls[placement.upstream] = url
        arguments = self._common_arguments(
            'agent', placement.host, placement.data_centre, ip
        )
        arguments += ['--upstreams', f'{placement.upstream}={url}']
        self.daemons[placement.host] = Daemon(placement.host, ip, arguments)

    async def add_rank(self, placement: Placement, standin: Any) -> str:
        """Serve a rank's engine; return the URL of its agent's step API."""
        ip = self.addresses.allocate()
        url = await self.servers.serve(
            standin.app(), ip, addresses.STANDIN_PORT
        )
        arguments = self._common_arguments(
            'agent', placement.host, placement.data_centre, ip
        )
        steps = f'{ip}:{addresses.STEPS_PORT}'
        arguments += ['--upstreams', f'{placement.upstream}={url}']
        arguments += ['--steps', steps]
        self.daemons[placement.host] = Daemon(placement.host, ip, arguments)
        return f'http://{steps}'

    def start(self, name: str) -> None:
        """Start a process that appends its output to ``NAME.log``."""
        daemon = self.daemons[name]
        log = (self.folder / f'{name}.log').open('ab')
        with log:
            daemon.process = subprocess.Popen(
                [sys.executable, '-m', self.module, *daemon.arguments],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env=os.environ,
            )

    def start_all(self) -> None:
        """Start all prepared processes."""
        for name in self.daemons:
            self.start(name)

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait for its end."""
        self._signal(name, signal.SIGKILL)
        self.daemons[name].process.wait()

    def suspend(self, name: str) -> None:
        """Suspend a process with SIGSTOP."""
        self._signal(name, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended process with SIGCONT."""
        self._signal(name, signal.SIGCONT)

    def terminate(self, name: str) -> None:
        """Request a graceful stop with SIGTERM; don't wait."""
        self._signal(name, signal.SIGTERM)

    async def close(self) -> None:
        """Kill all running processes and close the stand-ins."""
        running = [item for item in self.daemons.values() if item.is_running()]
        for daemon in running:
            daemon.process.kill()
        for daemon in running:
            daemon.process.wait(STOP_TIMEOUT_S)
        await self.servers.close()

    def entry_urls(self) -> list[str]:
        """Return the base URLs of the running entries."""
        return [
            f'http://{daemon.ip}:{addresses.HTTP_PORT}'
            for daemon in self.daemons.values()
            if daemon.arguments[0] == 'entry' and daemon.is_running()
        ]

    def url_of(self, host: str) -> str:
        """Return the base URL of an entry, running or not."""
        return f'http://{self.daemons[host].ip}:{addresses.HTTP_PORT}'

    def record(self) -> records.Record:
        """Return the merged records of all stand-ins."""
        total = records.Record()
        for standin in self.standins.values():
            total = total.merged(standin.record)
        return total

    def log_of(self, name: str) -> str:
        """Return the log of a process, empty if it never started."""
        path = self.folder / f'{name}.log'
        return path.read_text('utf-8', 'replace') if path.exists() else ''

    def _signal(self, name: str, signal_number: int) -> None:
        self.daemons[name].process.send_signal(signal_number)

    def _common_arguments(
        self, role: str, host: str, data_centre: str, ip: str
    ) -> list[str]:
        same_centre = {
            name: link
            for name, (centre, link) in self.entries.items()
            if centre == data_centre
        }
        other_centres = {
            name: link
            for name, (centre, link) in self.entries.items()
            if centre != data_centre
        }
        return [
            role,
            '--host',
            host,
            '--data-centre',
            data_centre,
            '--link',
            f'tcp://{ip}:{addresses.LINK_PORT}',
            '--region',
            REGION,
            '--voters',
            _format_pairs(self.voters),
            '--entries',
            _format_pairs(same_centre),
            '--remote-entries',
            _format_pairs(other_centres),
            *self.options.get(role, []),
        ]


def _format_pairs(addresses_by_host: dict[str, str]) -> str:
    return ','.join(
        f'{host}={address}' for host, address in addresses_by_host.items()
    )
