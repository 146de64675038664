"""A client of the administration API."""

import asyncio
from typing import Any

import aiohttp
import attrs

from tools.cluster import processes

POLL_INTERVAL_S = 0.02


@attrs.define(eq=False)
class Operator:
    """Sends requests to the running entries in turn until one answers."""

    session: aiohttp.ClientSession
    cluster: processes.Cluster

    async def request(
        self, method: str, path: str, url: str = '', **arguments: Any
    ) -> tuple[int, dict]:
        """Return the status and JSON of the first answer; retry forever."""
        headers = {'Authorization': f'Bearer {processes.OPERATOR_KEY}'}
        while True:
            for base_url in [url] if url else self.cluster.entry_urls():
                try:
                    async with self.session.request(
                        method,
                        f'{base_url}/admin/v1/{path}',
                        headers=headers,
                        **arguments,
                    ) as resp:
                        return resp.status, await resp.json()
                except (aiohttp.ClientError, TimeoutError):
                    continue
            await asyncio.sleep(POLL_INTERVAL_S)

    async def apply(
        self, manifest: dict, expected: int, request_id: str
    ) -> tuple[int, dict]:
        """Apply a manifest; resend while the answer is 503."""
        body = {
            'request_id': request_id,
            'expected_revision': expected,
            'manifest': manifest,
        }
        return await self._send_until_decided('PUT', 'manifest', body)

    async def drain(
        self, target: str, request_id: str, draining: bool = True
    ) -> tuple[int, dict]:
        """Drain an upstream or end its drain; resend while it is 503."""
        body = {
            'request_id': request_id,
            'target': target,
            'draining': draining,
        }
        return await self._send_until_decided('POST', 'drains', body)

    async def evacuate(
        self, data_centre: str, request_id: str, *, is_start: bool
    ) -> tuple[int, dict]:
        """Start or end an evacuation; resend while the answer is 503."""
        body = {
            'request_id': request_id,
            'data_centre': data_centre,
            'evacuate': is_start,
        }
        return await self._send_until_decided('POST', 'evacuations', body)

    async def wait_in_force(self, revision: int) -> None:
        """Wait until every running process has a revision in force."""
        while not await self.is_in_force(revision):
            await asyncio.sleep(POLL_INTERVAL_S)

    async def is_in_force(self, revision: int) -> bool:
        """Return whether every running process has at least a revision."""
        _, status = await self.request('GET', 'status')
        running = {
            name
            for name, daemon in self.cluster.daemons.items()
            if daemon.is_running()
        }
        hosts = status.get('hosts', {})
        return all(hosts.get(name, -1) >= revision for name in running)

    async def wait_healthy(self, upstreams: list[str]) -> None:
        """Wait until every running entry reports the upstreams as healthy."""
        for url in self.cluster.entry_urls():
            while True:
                _, answer = await self.request('GET', 'upstreams', url)
                healthy = {
                    row['id']
                    for row in answer.get('upstreams', [])
                    if row['healthy']
                }
                if healthy >= set(upstreams):
                    break
                await asyncio.sleep(POLL_INTERVAL_S)

    async def _send_until_decided(
        self, method: str, path: str, body: dict
    ) -> tuple[int, dict]:
        while True:
            status, answer = await self.request(method, path, json=body)
            if status != 503:
                return status, answer
            await asyncio.sleep(POLL_INTERVAL_S)
