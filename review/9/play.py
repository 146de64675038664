"""A process is killed while the whole system starts for the first time."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from support2 import deployment as deployments  # noqa: E402

KILLED_AFTER_S = 0.5
DOWN_S = 0.5
# The core counts as stable again after the first time; the second one is the
# bound on an acknowledgement.
STABLE_S = deployments.BOUNDS['contactMs'] / 1000
ACK_S = deployments.BOUNDS['ackTimeoutMs'] / 1000
# The operator resends until its order is accepted.
WATCHED_S = 30.0

DOCUMENT = {
    'version': 7,
    'routes': [
        {
            'name': 'r-fi6y7z5',
            'host': deployments.HOST,
            'pathPrefix': '/pufi791/',
            'kind': 'unsafe',
            'timeoutMs': 1000,
            'targetLatencyMs': 128,
            'priority': 2,
            'service': 'sklad',
            'attempts': 2,
            'public': False,
        }
    ],
    'services': [
        {
            'name': 'sklad',
            'healthPath': '/healthz',
            'maxConnections': 130,
            'protocol': 'h1',
            'tls': False,
        }
    ],
    'limits': {
        'maxHeaderBytes': 16384,
        'maxBodyBytes': 4194304,
        'headerTimeoutMs': 3000,
        'idleTimeoutMs': 15000,
    },
    'tenants': [
        {'name': 'hule930', 'apiKeys': [deployments.KEY], 'priority': 1}
    ],
}


async def run(deployment, trouble, record):
    """Start three entries with a disk and send the first configuration."""
    deployment.add_entries(3)
    async with deployment.running():
        started = time.monotonic()
        back_at = started
        if trouble:
            await asyncio.sleep(KILLED_AFTER_S)
            first = deployment.entries[0]
            first.end()
            record.write(f'{first.name} was killed')
            await asyncio.sleep(DOWN_S)
            first.start()
            back_at = time.monotonic()
            record.write(f'{first.name} is started again')
        number = 0
        while time.monotonic() < back_at + WATCHED_S:
            entry = deployment.entries[number % 3]
            number += 1
            status = await deployment.put(entry, DOCUMENT)
            record.write(f'put of version 7 to {entry.name}: {status}')
            if status == 200:
                break
            await asyncio.sleep(0.3)
        waited_s = time.monotonic() - back_at
        ended = [
            entry.name
            for entry in deployment.entries
            if entry.process.poll() is not None
        ]
        if ended:
            raise deployments.CannotRunError(f'{ended} have ended')
        bound_s = STABLE_S + ACK_S + (0 if trouble else 8.0)
        if status != 200 or waited_s > bound_s:
            return (
                f'Acks: the first configuration has no acknowledgement after '
                f'{waited_s:.0f} s and {number} attempts with all entries up'
            )
        return None


if __name__ == '__main__':
    sys.exit(deployments.play(FOLDER, run))
