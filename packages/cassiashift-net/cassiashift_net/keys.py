"""Keys: CURVE pairs of hosts, operator keys and workspace keys.

A host's pair is two files in the format of ``zmq.auth``: ``HOST.key`` with
the public key and the host's link address, which every host holds in its
folder of known hosts, and ``HOST.key_secret``, which the host alone holds.
"""

import hashlib
import os
import pathlib
import re
import secrets
import time

import attrs
import zmq
import zmq.auth

from cassiashift_core import CassiashiftError
from cassiashift_core import ErrorCode

PRIVATE_MODE = 0o600
PUBLIC_MODE = 0o644
FOLDER_MODE = 0o700
TOKEN_BYTES = 32
PUBLIC_SUFFIX = '.key'
SECRET_SUFFIX = '.key_secret'
LINK_FIELD = 'link'
MAX_KEY_FILE_BYTES = 4096
STAMP_SETTLED_NS = 1_000_000_000
NO_STAMP = -1

_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,63}\Z', re.ASCII)
_LINK = re.compile(rb'^\s*link\s*=\s*"?([^"\s]+)"?\s*$', re.MULTILINE)


@attrs.frozen
class KeyPair:
    """A host's CURVE key pair, in Z85 text as ZeroMQ takes it."""

    public: bytes
    secret: bytes = attrs.field(repr=False)


@attrs.frozen
class KnownHost:
    """A host that may take part, and the address of its link."""

    host: str
    public: bytes
    link: str


@attrs.define(eq=False)
class KeyRing:
    """The own key pair and the public keys of all known hosts.

    The folder is read again when a key is not known, so that a new host
    needs no restart of the others.
    """

    own: KeyPair
    folder: pathlib.Path
    _hosts: dict[bytes, KnownHost] = attrs.field(factory=dict)
    _stamp: int = NO_STAMP

    @classmethod
    def from_files(cls, secret_file: str, folder: str) -> 'KeyRing | None':
        """Return the key ring of a host, or None without files.

        Raises:
            CassiashiftError: a file is missing, damaged or readable by
                other users.
        """
        if not secret_file and not folder:
            return None
        ring = cls(load_pair(pathlib.Path(secret_file)), pathlib.Path(folder))
        ring.reload()
        return ring

    def reload(self) -> None:
        """Read the folder of known hosts if it has changed."""
        try:
            stamp = self.folder.stat().st_mtime_ns
            if stamp == self._stamp:
                return
            files = sorted(self.folder.glob(f'*{PUBLIC_SUFFIX}'))
            known = [load_public(path) for path in files]
        except OSError as exc:
            raise _unusable(self.folder, str(exc)) from exc
        self._hosts = {item.public: item for item in known}
        # A folder may change again within the resolution of its time stamp.
        is_settled = time.time_ns() - stamp > STAMP_SETTLED_NS
        self._stamp = stamp if is_settled else NO_STAMP

    def host_of(self, public: bytes) -> str | None:
        """Return the host that a public key belongs to, or None."""
        if public not in self._hosts:
            self.reload()
        found = self._hosts.get(public)
        return found.host if found else None

    def public_of(self, link: str) -> bytes | None:
        """Return the public key of the host at a link address, or None."""
        for _ in range(2):
            for item in self._hosts.values():
                if item.link == link:
                    return item.public
            self.reload()
        return None


def create_pair(folder: pathlib.Path, host: str, link: str) -> pathlib.Path:
    """Write a fresh key pair of a host and return the public file.

    Raises:
        CassiashiftError: the name can't be used, or the files exist.
    """
    _check_name(host)
    folder.mkdir(mode=FOLDER_MODE, parents=True, exist_ok=True)
    public, secret = zmq.curve_keypair()
    public_text = _certificate(link, public)
    secret_text = _certificate(link, public, secret)
    write_new(folder / (host + SECRET_SUFFIX), secret_text, PRIVATE_MODE)
    path = folder / (host + PUBLIC_SUFFIX)
    write_new(path, public_text, PUBLIC_MODE)
    return path


def load_pair(path: pathlib.Path) -> KeyPair:
    """Return the key pair of a secret file.

    Raises:
        CassiashiftError: the file is missing, damaged or readable by
            other users.
    """
    public, secret, _ = _load(path)
    if secret is None:
        raise _unusable(path, 'it holds no secret key')
    if path.stat().st_mode & 0o077:
        raise _unusable(path, 'other users may read it; its mode must be 600')
    return KeyPair(public, secret)


def load_public(path: pathlib.Path) -> KnownHost:
    """Return the host of a public file.

    Raises:
        CassiashiftError: the file is damaged.
    """
    public, _, link = _load(path)
    return KnownHost(path.name.removesuffix(PUBLIC_SUFFIX), public, link)


def create_token() -> str:
    """Return a fresh key for an operator or a workspace."""
    return secrets.token_urlsafe(TOKEN_BYTES)


def token_hash(token: str) -> str:
    """Return the SHA-256 of a key, in lower-case hex."""
    return hashlib.sha256(token.encode('utf-8', 'surrogateescape')).hexdigest()


def write_new(path: pathlib.Path, text: str, mode: int) -> None:
    """Write a file that must not exist yet, and sync it.

    Raises:
        CassiashiftError: it exists or can't be written.
    """
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    try:
        descriptor = os.open(path, flags, mode)
        with os.fdopen(descriptor, 'w', encoding='utf-8') as file:
            os.fchmod(descriptor, mode)
            file.write(text)
            file.flush()
            os.fsync(descriptor)
    except OSError as exc:
        raise _unusable(path, exc.strerror or str(exc)) from exc


def _certificate(link: str, public: bytes, secret: bytes = b'') -> str:
    lines = [
        'metadata',
        f'    {LINK_FIELD} = "{link}"',
        'curve',
        f'    public-key = "{public.decode()}"',
    ]
    if secret:
        lines.append(f'    secret-key = "{secret.decode()}"')
    return '\n'.join(lines) + '\n'


def _load(path: pathlib.Path) -> tuple[bytes, bytes | None, str]:
    try:
        if path.stat().st_size > MAX_KEY_FILE_BYTES:
            raise ValueError('the file is too large')
        data = path.read_bytes()
        public, secret = zmq.auth.load_certificate(path)
    except (OSError, ValueError) as exc:
        raise _unusable(path, str(exc)) from exc
    if len(public) != 40 or (secret is not None and len(secret) != 40):
        raise _unusable(path, 'it holds no CURVE key')
    found = _LINK.search(data)
    return public, secret, found.group(1).decode() if found else ''


def _check_name(name: str) -> None:
    if not _NAME.match(name):
        raise CassiashiftError(
            ErrorCode.BAD_REQUEST, f'{name!r} is not a usable name'
        )


def _unusable(path: pathlib.Path, reason: str) -> CassiashiftError:
    return CassiashiftError(ErrorCode.BAD_REQUEST, f'{path}: {reason}')
