"""Parses callers' HTTP requests into calls."""

from collections.abc import Mapping
import fnmatch
import time
from typing import Any

import attrs
import msgspec

from cassiashift_core import CassiashiftError
from cassiashift_core import ErrorCode
from cassiashift_core import hashing
from cassiashift_core import manifest
from cassiashift_core import routing
from cassiashift_daemon import calls
from cassiashift_daemon import settings

CHAT_PATH = '/v1/chat/completions'
DEADLINE_HEADER = 'X-Deadline-Ms'
PRIORITY_HEADER = 'X-Priority'
KEY_HEADER = 'Idempotency-Key'
VERSION_HEADER = 'X-Model-Version'
ADAPTER_HEADER = 'X-Model-Adapter'
FORWARDED_HEADERS = ('Content-Type', 'Accept')
CHARACTERS_PER_TOKEN = 4
DEFAULT_OUTPUT_TOKENS = 256
MAX_OUTPUT_TOKENS = 1_000_000
PREFIX_BLOCK_CHARACTERS = 256
MAX_PREFIX_BLOCKS = 64
MAX_KEY_LENGTH = 200
MAX_PRIORITY = 9
MAX_NUMBER_DIGITS = 9


@attrs.frozen
class ChatBody:
    """The fields of a chat completion's body that an entry reads."""

    model: str
    messages: list[dict[str, Any]]
    max_tokens: int | None = None
    stream: bool = False


@attrs.frozen
class ServiceRequest:
    """A received request for a service that is not a model."""

    name: str
    method: str
    path: str
    query: str = ''


def chat_call(
    cfg: settings.EntrySettings,
    workspace: manifest.Workspace,
    request_id: str,
    headers: Mapping[str, str],
    body: bytes,
) -> calls.Call:
    """Return the call for a chat completion, an idempotent one.

    Its tokens are an estimate: one for ``CHARACTERS_PER_TOKEN`` of the
    prompt, and the body's ``max_tokens`` or ``DEFAULT_OUTPUT_TOKENS``.

    Raises:
        CassiashiftError: the request is malformed or not allowed.
    """
    chat = _parse_chat_body(body)
    if workspace.models and chat.model not in workspace.models:
        raise CassiashiftError(
            ErrorCode.FORBIDDEN, 'the workspace may not use this model'
        )
    text = ''.join(str(item.get('content', '')) for item in chat.messages)
    prompt_tokens = len(text) // CHARACTERS_PER_TOKEN + 1
    output_tokens = chat.max_tokens or DEFAULT_OUTPUT_TOKENS
    deadline = _parse_deadline(cfg, headers)
    priority = _parse_priority(headers)
    route = routing.RouteRequest(
        request_id=request_id,
        workspace=workspace.id,
        model=chat.model,
        version=headers.get(VERSION_HEADER, '1'),
        adapter=headers.get(ADAPTER_HEADER),
        prompt_tokens=prompt_tokens,
        expected_tokens=output_tokens,
        prefix_blocks=_prefix_blocks(chat.model, text),
        deadline=deadline,
        data_centre=cfg.data_centre,
        priority=priority,
    )
    return calls.Call(
        request_id=request_id,
        workspace=workspace.id,
        route=route,
        method='POST',
        path=CHAT_PATH,
        headers=_forwarded_headers(headers),
        body=body,
        idempotent=True,
        deadline=deadline,
        priority=priority,
        tokens=prompt_tokens + output_tokens,
        idempotency_key=_parse_key(headers),
    )


def service_call(
    cfg: settings.EntrySettings,
    view: manifest.ManifestView,
    workspace: manifest.Workspace,
    request_id: str,
    req: ServiceRequest,
    headers: Mapping[str, str],
    body: bytes,
) -> calls.Call:
    """Return the call for a service; the manifest says if it is idempotent.

    Raises:
        CassiashiftError: the request is malformed, not allowed or not in the
            manifest.
    """
    if workspace.services and req.name not in workspace.services:
        raise CassiashiftError(
            ErrorCode.FORBIDDEN, 'the workspace may not use this service'
        )
    declared = _find_call(view, req)
    deadline = _parse_deadline(cfg, headers)
    priority = _parse_priority(headers)
    route = routing.RouteRequest(
        request_id=request_id,
        workspace=workspace.id,
        service=req.name,
        deadline=deadline,
        data_centre=cfg.data_centre,
        priority=priority,
    )
    return calls.Call(
        request_id=request_id,
        workspace=workspace.id,
        route=route,
        method=req.method,
        path=req.path + (f'?{req.query}' if req.query else ''),
        headers=_forwarded_headers(headers),
        body=body,
        idempotent=declared.idempotent,
        deadline=deadline,
        priority=priority,
        idempotency_key='' if declared.idempotent else _parse_key(headers),
    )


def _find_call(
    view: manifest.ManifestView, req: ServiceRequest
) -> manifest.Call:
    service = view.service(req.name)
    for call in service.calls if service is not None else ():
        if call.method == req.method and fnmatch.fnmatchcase(
            req.path, call.path
        ):
            return call
    raise CassiashiftError(
        ErrorCode.NOT_FOUND, 'the manifest declares no such call of a service'
    )


def _parse_chat_body(body: bytes) -> ChatBody:
    try:
        chat = msgspec.json.decode(body, type=ChatBody)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise CassiashiftError(ErrorCode.BAD_REQUEST, str(exc)) from exc
    limit = chat.max_tokens
    if limit is not None and not 0 < limit <= MAX_OUTPUT_TOKENS:
        raise CassiashiftError(
            ErrorCode.BAD_REQUEST, 'max_tokens is out of range'
        )
    return chat


def _parse_deadline(
    cfg: settings.EntrySettings, headers: Mapping[str, str]
) -> float:
    limit_s = cfg.request_timeout_s
    text = headers.get(DEADLINE_HEADER)
    if text is not None:
        if not _is_number(text):
            raise CassiashiftError(
                ErrorCode.BAD_REQUEST, f'{DEADLINE_HEADER} is not a number'
            )
        limit_s = min(limit_s, int(text) / 1000.0)
    return time.monotonic() + limit_s


def _parse_priority(headers: Mapping[str, str]) -> int:
    text = headers.get(PRIORITY_HEADER, '0')
    if not _is_number(text) or int(text) > MAX_PRIORITY:
        raise CassiashiftError(
            ErrorCode.BAD_REQUEST,
            f'{PRIORITY_HEADER} is not from 0 to {MAX_PRIORITY}',
        )
    return int(text)


def _is_number(text: str) -> bool:
    is_short = len(text) <= MAX_NUMBER_DIGITS
    return is_short and text.isascii() and text.isdecimal()


def _parse_key(headers: Mapping[str, str]) -> str:
    key = headers.get(KEY_HEADER, '')
    if len(key) > MAX_KEY_LENGTH:
        raise CassiashiftError(
            ErrorCode.BAD_REQUEST, f'{KEY_HEADER} is too long'
        )
    return key


def _forwarded_headers(
    headers: Mapping[str, str],
) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, headers[name]) for name in FORWARDED_HEADERS if name in headers
    )


def _prefix_blocks(model: str, text: str) -> tuple[int, ...]:
    """Return chained hashes of the prompt's full blocks."""
    blocks = []
    previous = model
    count = min(len(text) // PREFIX_BLOCK_CHARACTERS, MAX_PREFIX_BLOCKS)
    for number in range(count):
        start = number * PREFIX_BLOCK_CHARACTERS
        block = text[start : start + PREFIX_BLOCK_CHARACTERS]
        value = hashing.stable_hash(previous, block)
        blocks.append(value)
        previous = str(value)
    return tuple(blocks)
