"""Keys: CURVE key pairs of hosts, operator keys and workspace keys.

A key pair is stored in two files in the format of ``zmq.auth``. ``HOST.key``
holds the public key and the host's link address, and lies in the folder of
known hosts of every host. Only the host itself has ``HOST.key_secret``.
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
MTIME_SETTLED_NS = 1_000_000_000
UNKNOWN_MTIME_NS = -1

_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,63}\Z', re.ASCII)
_LINK = re.compile(rb'^\s*link\s*=\s*"?([^"\s]+)"?\s*$', re.MULTILINE)


@attrs.frozen
class KeyPair:
    """A host's CURVE key pair, in the Z85 encoding that ZeroMQ expects."""

    public: bytes
    secret: bytes = attrs.field(repr=False)


@attrs.frozen
class KnownHost:
    """A host whose key is accepted.

    Attributes:
        link: the address that the host binds for links.
    """

    host: str
    public: bytes
    link: str


@attrs.define(eq=False)
class KeyRing:
    """The host's own key pair and the public keys of all known hosts.

    A look-up that finds nothing reads the folder again, so that the others
    accept a new host without a restart.
    """

    own_pair: KeyPair
    folder: pathlib.Path
    _hosts: dict[bytes, KnownHost] = attrs.field(factory=dict)
    _mtime_ns: int = UNKNOWN_MTIME_NS

    @classmethod
    def from_files(cls, secret_file: str, folder: str) -> 'KeyRing | None':
        """Return the key ring of a host, or None if both paths are empty.

        Raises:
            CassiashiftError: a file is missing, damaged or readable by
                other users.
        """
        if not secret_file and not folder:
            return None
        ring = cls(
            load_key_pair(pathlib.Path(secret_file)), pathlib.Path(folder)
        )
        ring.reload()
        return ring

    def reload(self) -> None:
        """Read the folder of known hosts again if it has changed.

        Raises:
            CassiashiftError: the folder or a file in it can't be read.
        """
        try:
            mtime_ns = self.folder.stat().st_mtime_ns
            if mtime_ns == self._mtime_ns:
                return
            files = sorted(self.folder.glob(f'*{PUBLIC_SUFFIX}'))
            hosts = [load_known_host(path) for path in files]
        except OSError as exc:
            raise _file_error(self.folder, str(exc)) from exc
        self._hosts = {item.public: item for item in hosts}
        # A recent modification time is not kept: the folder may change again
        # within the resolution of its time stamp.
        is_settled = time.time_ns() - mtime_ns > MTIME_SETTLED_NS
        self._mtime_ns = mtime_ns if is_settled else UNKNOWN_MTIME_NS

    def find_host(self, public: bytes) -> str | None:
        """Return the host that a public key belongs to, or None."""
        if public not in self._hosts:
            self.reload()
        item = self._hosts.get(public)
        return item.host if item else None

    def find_public_key(self, link: str) -> bytes | None:
        """Return the public key of the host at a link address, or None."""
        for _ in range(2):
            for item in self._hosts.values():
                if item.link == link:
                    return item.public
            self.reload()
        return None


def create_pair(folder: pathlib.Path, host: str, link: str) -> pathlib.Path:
    """Create the key files of a host; return the path of the public one.

    Raises:
        CassiashiftError: the host's name is invalid, or a file exists.
    """
    _check_name(host)
    folder.mkdir(mode=FOLDER_MODE, parents=True, exist_ok=True)
    public, secret = zmq.curve_keypair()
    public_text = _format_certificate(link, public)
    secret_text = _format_certificate(link, public, secret)
    write_new_file(folder / (host + SECRET_SUFFIX), secret_text, PRIVATE_MODE)
    path = folder / (host + PUBLIC_SUFFIX)
    write_new_file(path, public_text, PUBLIC_MODE)
    return path


def load_key_pair(path: pathlib.Path) -> KeyPair:
    """Read the key pair in a secret file.

    Raises:
        CassiashiftError: the file is missing, damaged or readable by
            other users.
    """
    public, secret, _ = _load_certificate(path)
    if secret is None:
        raise _file_error(path, 'it holds no secret key')
    if path.stat().st_mode & 0o077:
        raise _file_error(
            path, 'other users may read it; its mode must be 600'
        )
    return KeyPair(public, secret)


def load_known_host(path: pathlib.Path) -> KnownHost:
    """Read a public file; the host's name comes from the file name.

    Raises:
        CassiashiftError: the file is damaged.
    """
    public, _, link = _load_certificate(path)
    return KnownHost(path.name.removesuffix(PUBLIC_SUFFIX), public, link)


def create_token() -> str:
    """Return a random URL-safe key for an operator or a workspace."""
    return secrets.token_urlsafe(TOKEN_BYTES)


def hash_token(token: str) -> str:
    """Return the SHA-256 of a key, in lower-case hex."""
    return hashlib.sha256(token.encode('utf-8', 'surrogateescape')).hexdigest()


def write_new_file(path: pathlib.Path, text: str, mode: int) -> None:
    """Create a file with the mode and sync it; never overwrite one.

    Raises:
        CassiashiftError: the file exists or can't be written.
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
        raise _file_error(path, exc.strerror or str(exc)) from exc


def _format_certificate(link: str, public: bytes, secret: bytes = b'') -> str:
    lines = [
        'metadata',
        f'    {LINK_FIELD} = "{link}"',
        'curve',
        f'    public-key = "{public.decode()}"',
    ]
    if secret:
        lines.append(f'    secret-key = "{secret.decode()}"')
    return '\n'.join(lines) + '\n'


def _load_certificate(path: pathlib.Path) -> tuple[bytes, bytes | None, str]:
    try:
        if path.stat().st_size > MAX_KEY_FILE_BYTES:
            raise ValueError('the file is too large')
        data = path.read_bytes()
        public, secret = zmq.auth.load_certificate(path)
    except (OSError, ValueError) as exc:
        raise _file_error(path, str(exc)) from exc
    if len(public) != 40 or (secret is not None and len(secret) != 40):
        raise _file_error(path, 'it holds no CURVE key')
    match = _LINK.search(data)
    return public, secret, match.group(1).decode() if match else ''


def _check_name(name: str) -> None:
    if not _NAME.match(name):
        raise CassiashiftError(
            ErrorCode.BAD_REQUEST, f'{name!r} is not a usable name'
        )


def _file_error(path: pathlib.Path, reason: str) -> CassiashiftError:
    return CassiashiftError(ErrorCode.BAD_REQUEST, f'{path}: {reason}')
