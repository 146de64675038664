"""Commands that are replicated in the log, and their codec."""

import attrs

from cassiashift_core import codec
from cassiashift_core import evacuation
from cassiashift_core.fleet import documents
from cassiashift_core.manifest import items
from cassiashift_core import mapswitch
from cassiashift_core import verdicts

CODEC = codec.Codec()


@attrs.frozen
class ApplyManifest:
    """Change the manifest if the expected revision is still current.

    Attributes:
        request_id: a repeated request with this id gets the first answer.
        expected_revision: the revision that the operator has read.
        delta: the changes from the manifest of that revision to the new.
        operator: the operator who sent the request.
    """

    request_id: str
    expected_revision: int
    delta: items.Delta
    operator: str = ''


@attrs.frozen
class SetDrain:
    """Start or end the drain of an upstream or entry.

    A ``pause_target`` as the target pauses the balancing of a group.
    """

    request_id: str
    target: str
    draining: bool
    operator: str = ''


@attrs.frozen
class OpenCall:
    """Record the intent to send a non-idempotent call.

    Attributes:
        digest: SHA-256 of method, path and body, in hex.
        at_s: wall-clock time at the proposer, in seconds.
        retention_s: seconds for which the key is kept after ``at_s``.
    """

    workspace: str
    key: str
    digest: str
    attempt: str
    upstream: str
    at_s: float
    retention_s: float


@attrs.frozen
class FindCall:
    """Look up a non-idempotent call without opening it."""

    workspace: str
    key: str
    digest: str
    at_s: float


@attrs.frozen
class CloseCall:
    """Record the outcome of an attempt of a non-idempotent call.

    ``status``, ``content_type`` and ``body`` hold the answer if the verdict
    is ``RAN``.
    """

    workspace: str
    key: str
    attempt: str
    verdict: verdicts.Verdict
    status: int = 0
    content_type: str = ''
    body: bytes = b''


@attrs.frozen
class PutDocument:
    """Replace the operators' configuration if this document is newer."""

    document: documents.Document


CODEC.register('document', PutDocument)
CODEC.register('apply', ApplyManifest)
CODEC.register('drain', SetDrain)
CODEC.register('open', OpenCall)
CODEC.register('close', CloseCall)
CODEC.register('find', FindCall)
CODEC.register('evacuate', evacuation.Order)
CODEC.register('switch', mapswitch.Decision)
