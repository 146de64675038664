"""Authenticates callers and operators."""

import hashlib
import hmac

from cassiashift_core import CassiashiftError
from cassiashift_core import ErrorCode
from cassiashift_core import manifest

BEARER = 'Bearer '
NO_KEY_HASH = '0' * 64


def key_hash(key: str) -> str:
    """Return the SHA-256 of a key, in lower-case hex."""
    return hashlib.sha256(key.encode()).hexdigest()


def bearer_key(header: str | None) -> str:
    """Return the key of an Authorization header.

    Raises:
        CassiashiftError: there is none.
    """
    if not header or not header.startswith(BEARER):
        raise CassiashiftError(
            ErrorCode.UNAUTHENTICATED, 'a bearer key is needed'
        )
    return header[len(BEARER) :].strip()


def workspace_of(
    current: manifest.Manifest, key: str
) -> manifest.Workspace | None:
    """Return the workspace that a key belongs to.

    Every hash is compared, in constant time, so that the time taken tells
    nothing of the stored hashes.
    """
    given = key_hash(key)
    found = None
    for workspace in current.workspaces:
        for stored in workspace.key_hashes:
            if hmac.compare_digest(given, stored):
                found = workspace
    return found


def is_operator(stored_hash: str, key: str) -> bool:
    """Tell whether a key is the operator key of a hash."""
    stored = stored_hash or NO_KEY_HASH
    same = hmac.compare_digest(key_hash(key), stored)
    return same and bool(stored_hash)
