"""Loopback addresses that no other run on this machine uses.

The process id selects a /24 of 127.0.0.0/8 for each run, so that runs can
use the same fixed ports.
"""

import os

import attrs

LINK_PORT = 7100
HTTP_PORT = 7080
STANDIN_PORT = 8000
STEPS_PORT = 7090
HOSTS_PER_RUN = 250
MAX_RUNS = 254 * 254


@attrs.define
class Addresses:
    """Allocates one loopback address for each host."""

    prefix: str
    _next_number: int = 1

    @classmethod
    def for_this_process(cls) -> 'Addresses':
        """Return an allocator for the /24 that this process id selects."""
        run_number = os.getpid() % MAX_RUNS
        return cls(f'127.{1 + run_number // 254}.{1 + run_number % 254}')

    def allocate(self) -> str:
        """Return the next free address.

        Raises:
            RuntimeError: all ``HOSTS_PER_RUN`` addresses are in use.
        """
        if self._next_number > HOSTS_PER_RUN:
            raise RuntimeError('no address is left for this run')
        ip = f'{self.prefix}.{self._next_number}'
        self._next_number += 1
        return ip
