"""The interface between a direct entry and its platform's adapter.

The adapter defines the header names, decodes configurations and serves the
platform's HTTP calls with the functions of ``api``.
"""

from collections.abc import Callable
from collections.abc import Mapping

import attrs

from cassiashift_core import costs
from cassiashift_core import routes


class InvalidDocumentError(ValueError):
    """A configuration is invalid; the text names the field and the reason."""


@attrs.frozen(kw_only=True)
class HeaderNames:
    """Names of the HTTP headers between callers, entries and upstreams.

    Attributes:
        request_id: id of one attempt of a caller; upstreams echo it.
        deadline_ms: milliseconds that the caller will still wait.
        stamp: an upstream's signature of its answer.
        workspace: name of the caller's workspace, set for upstreams.
        expected_upstream: id of the upstream that the request is sent to.
        upstream_id: id of the upstream that answered.
        not_run: set by an upstream that did not run the request.
        priority: priority at the upstream, 0 to 9; 0 is served first.
        last_event: id of the event after which a stream resumes.
        at_fault: id of the upstream that made another one fail.
        leaving: set by an upstream that leaves.
        prompt: lists the parts of the prompt.
        limit: requests a second that an upstream takes from all entries
            together, as a decimal number.
        cold_ms: milliseconds for which an upstream stays cold, as a decimal
            number; empty if the platform has no such header.
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
    leaving: str
    limit: str
    prompt: str
    cold_ms: str = ''


@attrs.frozen(kw_only=True)
class Dialect:
    """The adapter of a platform.

    Attributes:
        key_scheme: scheme of the Authorization header with an API key.
        decode_document: returns the route table of a configuration as the
            operator sent it; raises ``InvalidDocumentError``.
        shared_parts: returns the ids of the parts of a request's prompt, by
            its headers, that other requests may share.
        stated_size: returns the size of a request that its headers state.
        deployment: name stored in the data folder; a folder of another
            deployment is not opened.
    """

    headers: HeaderNames
    key_scheme: str
    decode_document: Callable[[bytes], routes.RouteTable]
    shared_parts: Callable[[Mapping[str, str]], tuple[str, ...]] = (
        lambda headers: ()
    )
    stated_size: Callable[[Mapping[str, str]], costs.StatedSize] = (
        lambda headers: costs.StatedSize()
    )
    deployment: str = 'cassiashift'
