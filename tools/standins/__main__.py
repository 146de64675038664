"""Runs one stand-in: ``python -m tools.standins engine|service NAME PORT``."""

import argparse
import asyncio

from tools.standins import engine
from tools.standins import host
from tools.standins import service

KINDS = {'engine': engine.Engine, 'service': service.PlainService}


async def main(options: argparse.Namespace) -> None:
    """Serve the stand-in until the process is interrupted."""
    servers = host.StandinServers()
    standin = KINDS[options.kind](options.name)
    url = await servers.serve(standin.app(), options.ip, options.port)
    print(f'{options.name} serves at {url}', flush=True)
    await asyncio.Event().wait()


if __name__ == '__main__':
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('kind', choices=sorted(KINDS))
    parser.add_argument('name')
    parser.add_argument('port', type=int)
    parser.add_argument('--ip', default='127.0.0.1')
    try:
        asyncio.run(main(parser.parse_args()))
    except KeyboardInterrupt:
        pass
