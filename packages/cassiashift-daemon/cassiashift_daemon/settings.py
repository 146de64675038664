"""Settings of the daemon: defaults, ranges, units and checks."""

from collections.abc import Mapping
import math
import re
from typing import Annotated
from typing import Any

import attrs
import cyclopts

ENV_PREFIX = 'CASSIASHIFT_'
REQUIRED = ('host', 'data_centre')
PAIRS = ('voters', 'entries', 'remote_entries', 'upstreams')
HASH_HEX_DIGITS = 64

_HASH = re.compile(r'[0-9a-f]{64}\Z')
_IP_PORT = re.compile(r'(\[[0-9a-fA-F:.]+\]|[\w.-]+):(\d{1,5}|\*)\Z', re.ASCII)
_LINK = re.compile(
    r'tcp://(\[[0-9a-fA-F:.]+\]|[\w.*-]+):(\d{1,5}|\*)\Z', re.ASCII
)
_PAIRS = (
    ('curve_secret_file', 'curve_keys_dir'),
    ('curve_keys_dir', 'curve_secret_file'),
    ('tls_cert_file', 'tls_key_file'),
    ('tls_key_file', 'tls_cert_file'),
)


class SettingsError(ValueError):
    """Settings are invalid; the text has one line for each problem."""

    def __init__(self, problems: list[str]) -> None:
        """Create an error from problems that name their setting."""
        super().__init__('\n'.join(problems))
        self.problems = problems


def _setting(default: Any, text: str, **bounds: float) -> Any:
    return attrs.field(default=default, metadata={'help': text, **bounds})


@attrs.frozen(kw_only=True)
class Settings:
    """Settings that both roles share.

    Each field is the flag ``--field-name`` and the environment variable
    ``CASSIASHIFT_FIELD_NAME``; a flag overrides the variable.
    """

    host: str = _setting('', 'Name of this host, unique in the deployment.')
    data_centre: str = _setting('', 'Data centre of this host.')
    region: str = _setting('', 'Region of this host.')
    deployment: str = _setting('cassiashift', 'Name of the deployment.')
    link: str = _setting(
        'tcp://127.0.0.1:7100', 'Address that other processes reach.'
    )
    curve_secret_file: str = _setting(
        '', 'Secret key of this host; links are not encrypted when empty.'
    )
    curve_keys_dir: str = _setting(
        '', 'Folder with the public key of every known host.'
    )
    voters: str = _setting('', 'Voters as HOST=ADDRESS, separated by commas.')
    entries: str = _setting(
        '', 'Some entries of this data centre as HOST=ADDRESS,...'
    )
    remote_entries: str = _setting(
        '', 'Some entries of other data centres as HOST=ADDRESS,...'
    )
    statsd: str = _setting('', 'HOST:PORT of the statsd server, or empty.')
    log_level: int = _setting(0, 'Verbosity of the logs.', low=-2, high=2)
    stop_timeout_s: float = _setting(
        600.0, 'Seconds that a planned stop may take.', low=0.0, high=86400.0
    )
    balance_window_s: float = _setting(
        60.0, 'Seconds of a window of expert counts.', low=0.1, high=3600.0
    )
    timeline_events: int = _setting(
        20_000, 'Events kept for the time line.', low=0, high=1_000_000
    )

    def voter_addresses(self) -> dict[str, str]:
        """Return the link address of each voter by host."""
        return _pairs(self.voters)

    def entry_addresses(self) -> dict[str, str]:
        """Return the link addresses of some entries of the data centre."""
        return _pairs(self.entries)

    def remote_entry_addresses(self) -> dict[str, str]:
        """Return the link addresses of some entries elsewhere."""
        return _pairs(self.remote_entries)


@attrs.frozen(kw_only=True)
class EntrySettings(Settings):
    """Settings of the role ``entry``."""

    http: str = _setting(
        '127.0.0.1:7080', 'IP:PORT for callers and operators.'
    )
    advertise: str = _setting(
        '', 'URL that callers are given; made from --http when empty.'
    )
    data_dir: str = _setting(
        '', 'Data folder; empty for a host without a disk.'
    )
    operator_key_hash: str = _setting(
        '', 'SHA-256 in hex of the first operator key.'
    )
    operators_file: str = _setting(
        '', 'File with lines NAME ROLE SHA256, one for each operator.'
    )
    tls_cert_file: str = _setting(
        '', 'Certificate chain for https; http is served when empty.'
    )
    tls_key_file: str = _setting('', 'Private key of the certificate.')
    max_body_bytes: int = _setting(
        4 * 1024 * 1024, 'Largest request body.', low=1024, high=2**30
    )
    max_header_bytes: int = _setting(
        64 * 1024, 'Largest head of a request.', low=1024, high=2**20
    )
    header_timeout_s: float = _setting(
        10.0, 'Seconds that a head may take.', low=0.1, high=3600.0
    )
    max_connections: int = _setting(
        2048, 'Open connections of callers.', low=1, high=10**6
    )
    request_timeout_s: float = _setting(
        120.0, 'Deadline of a call that names none.', low=0.1, high=3600.0
    )
    ledger_retention_s: float = _setting(
        86_400.0, 'Seconds that idempotency keys are kept.', low=1.0, high=1e7
    )
    directory_ttl_s: float = _setting(
        10.0, 'Seconds that callers may keep an answer.', low=0.1, high=3600.0
    )
    tick_interval_s: float = _setting(
        0.02, 'Seconds between ticks of the replica.', low=0.005, high=1.0
    )
    seed: int = _setting(0, 'Seed of random choices; 0 takes a fresh one.')


@attrs.frozen(kw_only=True)
class AgentSettings(Settings):
    """Settings of the role ``agent``."""

    upstreams: str = _setting(
        '', 'Upstreams of this host as ID=URL, separated by commas.'
    )
    steps: str = _setting(
        '', 'IP:PORT where engines ask for their steps; empty for none.'
    )
    connect_timeout_s: float = _setting(
        2.0, 'Seconds to connect to an upstream.', low=0.05, high=60.0
    )
    health_interval_s: float = _setting(
        0.5, 'Seconds between health checks.', low=0.05, high=60.0
    )

    def upstream_urls(self) -> dict[str, str]:
        """Return the base URL of each upstream by id."""
        return _pairs(self.upstreams)


EntryArguments = Annotated[EntrySettings, cyclopts.Parameter(name='*')]
AgentArguments = Annotated[AgentSettings, cyclopts.Parameter(name='*')]


def flag(name: str) -> str:
    """Return the flag of a setting."""
    return '--' + name.replace('_', '-')


def variable(name: str) -> str:
    """Return the environment variable of a setting."""
    return ENV_PREFIX + name.upper()


def check(cfg: Settings) -> None:
    """Check every setting.

    Raises:
        SettingsError: with a line for each setting that is missing, out of
            range or malformed.
    """
    problems = []
    for field in attrs.fields(type(cfg)):
        problem = _problem(field, getattr(cfg, field.name))
        if problem:
            problems.append(_line(field.name, problem))
    for first, second in _PAIRS:
        if getattr(cfg, first, '') and not getattr(cfg, second, ''):
            problems.append(_line(first, f'needs {flag(second)} as well'))
    if problems:
        raise SettingsError(problems)


def origins(
    cfg: Settings, arguments: list[str], environ: Mapping[str, str]
) -> list[tuple[str, Any, str]]:
    """Return name, value and origin of each setting.

    The origin is its flag, its variable or ``default``.
    """
    rows = []
    flags = {argument.split('=', 1)[0] for argument in arguments}
    for field in attrs.fields(type(cfg)):
        origin = 'default'
        if variable(field.name) in environ:
            origin = variable(field.name)
        if flag(field.name) in flags:
            origin = flag(field.name)
        rows.append((field.name, getattr(cfg, field.name), origin))
    return rows


def _line(name: str, problem: str) -> str:
    return f'{flag(name)} ({variable(name)}): {problem}'


def _pairs(text: str) -> dict[str, str]:
    pairs = [pair for pair in text.split(',') if pair]
    return dict(pair.split('=', 1) for pair in pairs)


def _problem(field: attrs.Attribute, value: Any) -> str:
    low = field.metadata.get('low', -math.inf)
    high = field.metadata.get('high', math.inf)
    if isinstance(value, int | float) and not low <= value <= high:
        return f'{value} is not between {low} and {high}'
    if field.name in REQUIRED and not value:
        return 'is missing'
    if field.name in PAIRS:
        return _pairs_problem(value)
    if isinstance(value, str):
        return _text_problem(field.name, value)
    return ''


def _text_problem(name: str, value: str) -> str:
    if not value.isprintable():
        return f'{value!r} contains a control character'
    if name == 'operator_key_hash' and value and not _HASH.match(value):
        return f'is not {HASH_HEX_DIGITS} lower-case hex digits'
    if name == 'statsd' and value and not _IP_PORT.match(value):
        return f'{value!r} is not HOST:PORT'
    if name == 'steps' and value and not _IP_PORT.match(value):
        return f'{value!r} is not IP:PORT'
    if name == 'http' and not _IP_PORT.match(value):
        return f'{value!r} is not IP:PORT'
    if name == 'link' and not _LINK.match(value):
        return f'{value!r} is not tcp://IP:PORT'
    return ''


def _pairs_problem(value: str) -> str:
    names = set()
    for pair in filter(None, value.split(',')):
        name, _, address = pair.partition('=')
        if not name or '://' not in address:
            return f'{pair!r} is not NAME=SCHEME://ADDRESS'
        if name in names:
            return f'{name!r} occurs twice'
        names.add(name)
    return ''
