"""Identities of whole requests, under which repeated ones are recognised."""

import hashlib

IDENTITY_BYTES = 16
# The identity of a request is a key like that of a part, of no service: the
# routes of one request may lead to several.
ANY_SERVICE = ''


def request_identity(
    secret: str,
    workspace: str,
    method: str,
    path: str,
    body: bytes,
    prompt: str = '',
) -> str:
    """Return a keyed hash of what a caller repeats.

    Args:
        secret: known to all entries but to no caller.
        prompt: names of the parts of its prompt; they count only without a
            body, which says more than they do.
    """
    digest = hashlib.blake2b(
        digest_size=IDENTITY_BYTES, key=secret.encode()[:64]
    )
    for text in (workspace, method, path, '' if body else prompt):
        data = text.encode()
        digest.update(len(data).to_bytes(4) + data)
    digest.update(body)
    return digest.hexdigest()
