"""Loopback addresses that no other run on this machine uses.

Each run takes its own part of 127.0.0.0/8, made from its process id, so
that fixed ports never clash.
"""

import os

import attrs

LINK_PORT = 7100
HTTP_PORT = 7080
STANDIN_PORT = 8000
STEPS_PORT = 7090
HOSTS_PER_RUN = 250
RUNS = 254 * 254


@attrs.define
class Addresses:
    """Hands out one loopback address for each host."""

    prefix: str
    _next: int = 1

    @classmethod
    def for_this_process(cls) -> 'Addresses':
        """Return the addresses that belong to this process id."""
        number = os.getpid() % RUNS
        return cls(f'127.{1 + number // 254}.{1 + number % 254}')

    def take(self) -> str:
        """Return an address that was not handed out yet."""
        if self._next > HOSTS_PER_RUN:
            raise RuntimeError('no address is left for this run')
        ip = f'{self.prefix}.{self._next}'
        self._next += 1
        return ip
