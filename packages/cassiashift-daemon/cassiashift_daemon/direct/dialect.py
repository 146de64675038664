"""What a direct entry needs of the platform that it runs on.

A platform's adapter gives the names of headers, decodes configurations and
serves the platform's calls by means of the functions of ``api``.
"""

from collections.abc import Callable

import attrs

from cassiashift_core import routes


class InvalidDocumentError(ValueError):
    """A configuration that can't be accepted; says which field and why."""


@attrs.frozen(kw_only=True)
class HeaderNames:
    """Names of the HTTP headers that carry the system's fields.

    Attributes:
        request_id: id of one try of a caller; upstreams echo it.
        deadline_ms: milliseconds that the caller still waits.
        stamp: an upstream's signature of its answer.
        workspace: name of the caller's workspace, for upstreams.
        expected_upstream: the id of the upstream that is meant.
        upstream_id: the id of the upstream that answered.
        not_run: an upstream states that it did not run the request.
        priority: urgency at the upstream, 0 to 9; 0 is first.
        last_event: where a stream goes on.
        at_fault: id of the upstream that made another one fail.
    """

    request_id: str
    deadline_ms: str
    stamp: str
    workspace: str
    expected_upstream: str
    upstream_id: str
    not_run: str
    priority: str
    last_event: str
    at_fault: str


@attrs.frozen(kw_only=True)
class Dialect:
    """The adapter of a platform.

    Attributes:
        key_scheme: scheme of the Authorization header that carries a key.
        decode_document: returns the route table in an operator's bytes;
            raises ``InvalidDocumentError``.
        deployment: name that the data folder is bound to.
    """

    headers: HeaderNames
    key_scheme: str
    decode_document: Callable[[bytes], routes.RouteTable]
    deployment: str = 'cassiashift'
