"""Request and answer of an explanation, as the entry and the operator see it.

Workspaces are given by name; no key is in either.
"""

from typing import Annotated

import attrs
import msgspec

from cassiashift_core import CassiashiftError
from cassiashift_core import ErrorCode
from cassiashift_core import placing

# Below the prefix of the administration API.
PATH = '/explain'
MAX_TEXT = 4096
# As many digits as the headers of requests may state.
MAX_TOKENS = 999_999_999
MAX_DEADLINE_MS = 86_400_000

Text = Annotated[str, msgspec.Meta(max_length=MAX_TEXT)]
Tokens = Annotated[int, msgspec.Meta(ge=0, le=MAX_TOKENS)]


class Request(msgspec.Struct, rename='camel', forbid_unknown_fields=True):
    """The request to explain.

    Attributes:
        workspace: name of its workspace; empty for public routes.
        model: service of the route, where it has several; drawn if empty.
        output_tokens: the largest output that the caller allows; 0 for none
            stated, likewise for the other numbers of tokens.
        length_hint: the caller's estimate of the output.
        deadline_ms: the route's timeout if None.
    """

    host: Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_TEXT)]
    path: Annotated[str, msgspec.Meta(pattern='^/', max_length=MAX_TEXT)]
    workspace: Text = ''
    model: Text = ''
    prompt_tokens: Tokens = 0
    output_tokens: Tokens = 0
    length_hint: Tokens = 0
    deadline_ms: (
        Annotated[float, msgspec.Meta(ge=0, le=MAX_DEADLINE_MS)] | None
    ) = None


@attrs.frozen
class LeftOut:
    """An upstream of the service that was no candidate."""

    upstream: str
    data_centre: str
    reason: str
    announced_age_s: float | None = None


@attrs.frozen
class Answer:
    """One entry's explanation.

    Attributes:
        entry: host of the entry.
        configuration: version in force there, of which
            ``configuration_age_s`` is the age.
        evacuated: evacuated data centres.
        left_out: upstreams of the service that were no candidates.
    """

    entry: str
    data_centre: str
    configuration: int
    configuration_age_s: float
    evacuated: tuple[str, ...]
    route: str
    service: str
    workspace: str
    priority: int
    explanation: placing.Explanation
    left_out: tuple[LeftOut, ...] = ()


def decode(content: bytes) -> Request:
    """Return the request in a JSON body.

    Raises:
        CassiashiftError: BAD_REQUEST; the message names the field.
    """
    try:
        return msgspec.json.decode(content, type=Request)
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        raise CassiashiftError(ErrorCode.BAD_REQUEST, str(exc)) from exc


def encode(answer: Answer) -> bytes:
    """Return an answer as JSON."""
    return msgspec.json.encode(answer)


def encode_error(exc: CassiashiftError) -> bytes:
    """Return an error as JSON, as the administration API has it."""
    error = {
        'code': exc.code.value,
        'message': exc.message,
        'verdict': exc.verdict.value,
    }
    return msgspec.json.encode({'error': error})
