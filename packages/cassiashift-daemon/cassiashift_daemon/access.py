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
    """What an operator may do; each role may do what the former may."""

    VIEWER = 'viewer'
    OPERATOR = 'operator'
    ADMIN = 'admin'

    def covers(self, needed: 'OperatorRole') -> bool:
        """Tell whether this role may do what needs another role."""
        order = list(OperatorRole)
        return order.index(self) >= order.index(needed)


@attrs.frozen
class Operator:
    """An operator and the hash of the key."""

    name: str
    role: OperatorRole
    key_hash: str = attrs.field(repr=False)


@attrs.frozen
class Operators:
    """All operators of an entry."""

    operators: tuple[Operator, ...] = ()

    @classmethod
    def from_config(cls, cfg: settings.EntrySettings) -> 'Operators':
        """Return the operators of the settings.

        The first operator, of ``--operator-key-hash``, is an admin.

        Raises:
            CassiashiftError: the operators file can't be used.
        """
        found = []
        if cfg.operator_key_hash:
            first = Operator(
                FIRST_OPERATOR, OperatorRole.ADMIN, cfg.operator_key_hash
            )
            found.append(first)
        if cfg.operators_file:
            found.extend(_read_operators(pathlib.Path(cfg.operators_file)))
        return cls(tuple(found))

    def authenticate(self, key: str) -> Operator | None:
        """Return the operator whose key it is; compare every hash."""
        given = keys.token_hash(key)
        found = None
        for operator in self.operators:
            if hmac.compare_digest(given, operator.key_hash):
                found = operator
        return found

    def authorise(self, key: str, needed: OperatorRole) -> Operator:
        """Return the operator of a key that may do what needs a role.

        Raises:
            CassiashiftError: the key is unknown, or the role too low.
        """
        operator = self.authenticate(key)
        if operator is None:
            raise CassiashiftError(
                ErrorCode.UNAUTHENTICATED, 'the key is not an operator key'
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
    return keys.token_hash(key)


def bearer_key(header: str | None) -> str:
    """Return the key of an Authorization header.

    Raises:
        CassiashiftError: there is none.
    """
    if not header or not header.startswith(BEARER):
        raise CassiashiftError(
            ErrorCode.UNAUTHENTICATED, 'a bearer key is needed'
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
    """Return the workspace that a key belongs to.

    The look-up is by the key's SHA-256. Its time may depend on the stored
    hashes, but nobody can choose the hash of a key, so it tells nothing
    that helps to find one. The hash is then compared in constant time.
    """
    given = key_hash(key)
    found = view.workspace_of_key(given)
    stored = found.key_hashes if found else (NO_KEY_HASH,)
    matches = [hmac.compare_digest(given, item) for item in stored]
    return found if any(matches) else None


def _read_operators(path: pathlib.Path) -> list[Operator]:
    try:
        with path.open(encoding='utf-8') as file:
            text = file.read(MAX_OPERATORS_FILE_BYTES)
    except (OSError, ValueError) as exc:
        raise _unusable(path, f'can not be read: {exc}') from exc
    operators = []
    for number, line in enumerate(text.splitlines(), start=1):
        words = line.split('#', 1)[0].split()
        if words:
            operators.append(_operator(path, number, words))
    names = [item.name for item in operators]
    if len(set(names)) < len(names):
        raise _unusable(path, 'a name stands twice')
    return operators


def _operator(path: pathlib.Path, number: int, words: list[str]) -> Operator:
    roles = {role.value for role in OperatorRole}
    usable = len(words) == 3 and words[1] in roles and _HASH.match(words[2])
    if not usable:
        raise _unusable(path, f'line {number} is not NAME ROLE SHA256')
    return Operator(words[0], OperatorRole(words[1]), words[2])


def _unusable(path: pathlib.Path, reason: str) -> CassiashiftError:
    return CassiashiftError(
        ErrorCode.BAD_REQUEST,
        f'--operators-file (CASSIASHIFT_OPERATORS_FILE): {path}: {reason}',
    )
