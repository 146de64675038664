"""Measures the memory of sets of imports, each in a new interpreter."""

import json
import subprocess
import sys

CONTROL = (
    'uvloop',
    'zmq.asyncio',
    'msgspec',
    'absl.logging',
    'statsd',
    'cassiashift_core.membership',
    'cassiashift_core.spread',
    'cassiashift_core.fencing',
    'cassiashift_core.timeline',
)
CORE = (
    'cassiashift_core.membership',
    'cassiashift_core.spread',
    'cassiashift_core.fencing',
    'cassiashift_core.timeline',
)
SERVING = (
    'uvloop',
    'aiomisc',
    'aiohttp',
    'zmq.asyncio',
    'msgspec',
    'absl.logging',
    'statsd',
)
IMPORT_SETS = {
    'bare interpreter': (),
    'asyncio': ('asyncio',),
    'uvloop': ('uvloop',),
    'aiomisc': ('aiomisc',),
    'zmq.asyncio': ('zmq.asyncio',),
    'attrs': ('attrs',),
    'msgspec': ('msgspec',),
    'xxhash': ('xxhash',),
    'absl.logging': ('absl.logging',),
    'statsd': ('statsd',),
    'hdrh.histogram': ('hdrh.histogram',),
    'transitions': ('transitions',),
    'cyclopts': ('cyclopts',),
    'aiohttp': ('aiohttp',),
    'numpy': ('numpy',),
    'core of control': CORE,
    'serving': SERVING,
    'serving and control': (*SERVING, *CORE),
    'control': CONTROL,
    'control and aiomisc': (*CONTROL, 'aiomisc'),
    'operator command': ('cyclopts', 'aiohttp', 'jsonschema', 'yaml'),
}
PROBE = """
import sys
for name in {names!r}:
    __import__(name)
values = {{'Rss': 0, 'Private_Clean': 0, 'Private_Dirty': 0}}
for line in open('/proc/self/smaps_rollup'):
    key = line.split(':')[0]
    if key in values:
        values[key] = int(line.split()[1])
print(values['Rss'], values['Private_Clean'] + values['Private_Dirty'])
"""


def measure() -> list[dict[str, object]]:
    """Return resident and private KiB for each set of imports."""
    rows = []
    for name, modules in IMPORT_SETS.items():
        code = PROBE.format(names=tuple(modules))
        completed = subprocess.run(
            [sys.executable, '-c', code],
            check=True,
            capture_output=True,
            text=True,
            timeout=60,
        )
        resident, private = (int(word) for word in completed.stdout.split())
        rows.append(
            {'name': name, 'rss_kib': resident, 'private_kib': private}
        )
    return rows


if __name__ == '__main__':
    print(json.dumps(measure(), indent=1))
