"""Authenticates callers and operators."""

import enum
import hmac
import pathlib
import re

import attrs

from cassiashift_core import CassiashiftError
from cassiashift_core import ErrorCode
from cassiashift_core import manifest
from cassiashift_daemon import settings
from cassiashift_net import keys

BEARER = 'Bearer '
NO_KEY_HASH = '0' * 64
MAX_KEY_CHARACTERS = 512
MAX_OPERATORS_FILE_BYTES = 1024 * 1024
FIRST_OPERATOR = 'first'

_HASH = re.compile(r'[0-9a-f]{64}\Z')


class OperatorRole(enum.Enum):
    """What an operator may do; each role includes the one before it."""

    VIEWER = 'viewer'
    OPERATOR = 'operator'
    ADMIN = 'admin'

    def covers(self, needed: 'OperatorRole') -> bool:
        """Return whether this role includes the needed one."""
        order = list(OperatorRole)
        return order.index(self) >= order.index(needed)


@attrs.frozen
class Operator:
    """An operator, and the SHA-256 of the operator's key."""

    name: str
    role: OperatorRole
    key_hash: str = attrs.field(repr=False)


@attrs.frozen
class Operators:
    """The operators that an entry knows."""

    operators: tuple[Operator, ...] = ()

    @classmethod
    def from_config(cls, cfg: settings.EntrySettings) -> 'Operators':
        """Return the operators of the settings.

        The operator of ``--operator-key-hash`` is an admin named ``first``.

        Raises:
            CassiashiftError: the operators file can't be used.
        """
        operators = []
        if cfg.operator_key_hash:
            first = Operator(
                FIRST_OPERATOR, OperatorRole.ADMIN, cfg.operator_key_hash
            )
            operators.append(first)
        if cfg.operators_file:
            operators.extend(_read_operators(pathlib.Path(cfg.operators_file)))
        return cls(tuple(operators))

    def authenticate(self, key: str) -> Operator | None:
        """Return the operator with this key, or None.

        Every hash is compared, in constant time, so that the time taken does
        not depend on which one matches.
        """
        hash_ = keys.hash_token(key)
        found = None
        for operator in self.operators:
            if hmac.compare_digest(hash_, operator.key_hash):
                found = operator
        return found

    def authorise(self, key: str, needed: OperatorRole) -> Operator:
        """Return the operator of a key, if the role is sufficient.

        Raises:
            CassiashiftError: the key is unknown, or its role is not
                sufficient.
        """
        operator = self.authenticate(key)
        if operator is None:
            raise CassiashiftError(
                ErrorCode.UNAUTHENTICATED, 'no operator has this key'
            )
        if not operator.role.covers(needed):
            raise CassiashiftError(
                ErrorCode.FORBIDDEN,
                f'this needs the role {needed.value},'
                f' the key has {operator.role.value}',
            )
        return operator


def key_hash(key: str) -> str:
    """Return the SHA-256 of a key, in lower-case hex."""
    return keys.hash_token(key)


def bearer_key(header: str | None) -> str:
    """Return the key of an Authorization header.

    Raises:
        CassiashiftError: there is none, or it is malformed.
    """
    if not header or not header.startswith(BEARER):
        raise CassiashiftError(
            ErrorCode.UNAUTHENTICATED, 'a bearer key is missing'
        )
    key = header[len(BEARER) :].strip()
    if not key or len(key) > MAX_KEY_CHARACTERS:
        raise CassiashiftError(
            ErrorCode.UNAUTHENTICATED, 'the bearer key is malformed'
        )
    return key


def workspace_of(
    view: manifest.ManifestView, key: str
) -> manifest.Workspace | None:
    """Return the workspace of a key, or None.

    It is looked up by the key's SHA-256. The time of the look-up may depend
    on the stored hashes, but a caller can't choose the hash of a key, so the
    time doesn't help to guess one. The hash is then compared in constant
    time.
    """
    hash_ = key_hash(key)
    found = view.workspace_of_key(hash_)
    stored = found.key_hashes if found else (NO_KEY_HASH,)
    matches = [hmac.compare_digest(hash_, item) for item in stored]
    return found if any(matches) else None


def _read_operators(path: pathlib.Path) -> list[Operator]:
    try:
        with path.open(encoding='utf-8') as file:
            text = file.read(MAX_OPERATORS_FILE_BYTES)
    except (OSError, ValueError) as exc:
        raise _file_error(path, f'can not be read: {exc}') from exc
    operators = []
    for number, line in enumerate(text.splitlines(), start=1):
        words = line.split('#', 1)[0].split()
        if words:
            operators.append(_parse_operator(path, number, words))
    names = [item.name for item in operators]
    if len(set(names)) < len(names):
        raise _file_error(path, 'a name occurs twice')
    return operators


def _parse_operator(
    path: pathlib.Path, number: int, words: list[str]
) -> Operator:
    roles = {role.value for role in OperatorRole}
    usable = len(words) == 3 and words[1] in roles and _HASH.match(words[2])
    if not usable:
        raise _file_error(path, f'line {number} is not NAME ROLE SHA256')
    return Operator(words[0], OperatorRole(words[1]), words[2])


def _file_error(path: pathlib.Path, reason: str) -> CassiashiftError:
    return CassiashiftError(
        ErrorCode.BAD_REQUEST,
        f'--operators-file (CASSIASHIFT_OPERATORS_FILE): {path}: {reason}',
    )
