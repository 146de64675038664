"""Entries, agents and stand-ins of one deployment on loopback."""

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
    """One process of the system, and how to start it again."""

    name: str
    ip: str
    arguments: list[str]
    process: subprocess.Popen | None = None

    def is_running(self) -> bool:
        """Tell whether the process runs."""
        return self.process is not None and self.process.poll() is None


@attrs.frozen
class Placement:
    """An upstream and where its agent runs."""

    host: str
    data_centre: str
    upstream: str
    is_engine: bool


@attrs.define(eq=False)
class Cluster:
    """All processes of a run.

    Attributes:
        folder: holds the data folders and the logs.
        options: further flags by role.
    """

    folder: pathlib.Path
    addresses: addresses.Addresses
    options: dict[str, list[str]] = attrs.field(factory=dict)
    daemons: dict[str, Daemon] = attrs.field(factory=dict)
    standins: dict[str, Any] = attrs.field(factory=dict)
    servers: standin_host.StandinHost = attrs.field(
        factory=standin_host.StandinHost
    )
    voters: dict[str, str] = attrs.field(factory=dict)
    entries: dict[str, tuple[str, str]] = attrs.field(factory=dict)

    @classmethod
    def in_folder(cls, folder: pathlib.Path, **options: list[str]):
        """Return an empty cluster."""
        return cls(folder, addresses.Addresses.for_this_process(), options)

    def add_entries(self, hosts: dict[str, str], voters: int) -> None:
        """Prepare entries, given as data centre by host."""
        ips = {host: self.addresses.take() for host in hosts}
        for host, data_centre in hosts.items():
            link = f'tcp://{ips[host]}:{addresses.LINK_PORT}'
            self.entries[host] = (data_centre, link)
        for host in list(hosts)[:voters]:
            self.voters[host] = f'tcp://{ips[host]}:{addresses.LINK_PORT}'
        for host, data_centre in hosts.items():
            arguments = self._common('entry', host, data_centre, ips[host])
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
        """Serve a stand-in and prepare the agent before it."""
        ip = self.addresses.take()
        if placement.is_engine:
            standin = engine.Engine(placement.upstream, **traits)
        else:
            standin = service.PlainService(placement.upstream, **traits)
        self.standins[placement.upstream] = standin
        url = await self.servers.serve(
            standin.app(), ip, addresses.STANDIN_PORT
        )
        arguments = self._common(
            'agent', placement.host, placement.data_centre, ip
        )
        arguments += ['--upstreams', f'{placement.upstream}={url}']
        self.daemons[placement.host] = Daemon(placement.host, ip, arguments)

    async def add_rank(self, placement: Placement, standin: Any) -> str:
        """Serve a rank's engine; return where it asks for steps."""
        ip = self.addresses.take()
        url = await self.servers.serve(
            standin.app(), ip, addresses.STANDIN_PORT
        )
        arguments = self._common(
            'agent', placement.host, placement.data_centre, ip
        )
        steps = f'{ip}:{addresses.STEPS_PORT}'
        arguments += ['--upstreams', f'{placement.upstream}={url}']
        arguments += ['--steps', steps]
        self.daemons[placement.host] = Daemon(placement.host, ip, arguments)
        return f'http://{steps}'

    def start(self, name: str) -> None:
        """Start a process; its log goes to a file."""
        daemon = self.daemons[name]
        log = (self.folder / f'{name}.log').open('ab')
        with log:
            daemon.process = subprocess.Popen(
                [sys.executable, '-m', 'cassiashift_daemon.main']
                + daemon.arguments,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env=os.environ,
            )

    def start_all(self) -> None:
        """Start every process that is prepared."""
        for name in self.daemons:
            self.start(name)

    def kill(self, name: str) -> None:
        """Kill a process without a warning."""
        self._signal(name, signal.SIGKILL)
        self.daemons[name].process.wait()

    def freeze(self, name: str) -> None:
        """Stop a process in its tracks."""
        self._signal(name, signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Let a frozen process go on."""
        self._signal(name, signal.SIGCONT)

    def terminate(self, name: str) -> None:
        """Ask a process for a planned stop."""
        self._signal(name, signal.SIGTERM)

    async def close(self) -> None:
        """End everything that was started."""
        running = [item for item in self.daemons.values() if item.is_running()]
        for daemon in running:
            daemon.process.kill()
        for daemon in running:
            daemon.process.wait(STOP_TIMEOUT_S)
        await self.servers.close()

    def entry_urls(self) -> list[str]:
        """Return the HTTP addresses of the running entries."""
        return [
            f'http://{daemon.ip}:{addresses.HTTP_PORT}'
            for daemon in self.daemons.values()
            if daemon.arguments[0] == 'entry' and daemon.is_running()
        ]

    def url_of(self, host: str) -> str:
        """Return the HTTP address of an entry."""
        return f'http://{self.daemons[host].ip}:{addresses.HTTP_PORT}'

    def record(self) -> records.Record:
        """Return what ran at all stand-ins."""
        total = records.Record()
        for standin in self.standins.values():
            total = total.merged(standin.record)
        return total

    def log_of(self, name: str) -> str:
        """Return the log of a process."""
        path = self.folder / f'{name}.log'
        return path.read_text('utf-8', 'replace') if path.exists() else ''

    def _signal(self, name: str, number: int) -> None:
        self.daemons[name].process.send_signal(number)

    def _common(
        self, role: str, host: str, data_centre: str, ip: str
    ) -> list[str]:
        near = {
            name: link
            for name, (centre, link) in self.entries.items()
            if centre == data_centre
        }
        far = {
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
            _pairs(self.voters),
            '--entries',
            _pairs(near),
            '--remote-entries',
            _pairs(far),
            *self.options.get(role, []),
        ]


def _pairs(addresses_by_host: dict[str, str]) -> str:
    return ','.join(
        f'{host}={address}' for host, address in addresses_by_host.items()
    )
