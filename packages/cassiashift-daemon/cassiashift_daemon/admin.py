"""The administration API for operators."""

import time
from typing import Any
import uuid

from aiohttp import web
import attrs
import msgspec

from cassiashift_core import CassiashiftError
from cassiashift_core import ErrorCode
from cassiashift_core import state
from cassiashift_daemon import access
from cassiashift_daemon import members
from cassiashift_daemon import proposals
from cassiashift_daemon import recorder
from cassiashift_daemon import settings
from cassiashift_daemon import shared_state
from cassiashift_net import problems

PREFIX = '/admin/v1'


@attrs.frozen
class ApplyRequest:
    """An operator's wish to replace the manifest."""

    request_id: str
    expected_revision: int
    manifest: msgspec.Raw


@attrs.frozen
class DrainRequest:
    """An operator's wish to drain an upstream or to end its drain."""

    request_id: str
    target: str
    draining: bool


@attrs.define(eq=False)
class AdminApi:
    """Handlers of the operators' routes."""

    cfg: settings.EntrySettings
    holder: shared_state.SharedHolder
    members: members.Members
    proposer: proposals.Proposer
    events: recorder.Recorder
    voter_status: Any

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of this interface."""
        return [
            web.get(f'{PREFIX}/status', self.handled(self.status)),
            web.get(f'{PREFIX}/manifest', self.handled(self.manifest)),
            web.put(f'{PREFIX}/manifest', self.handled(self.apply)),
            web.get(f'{PREFIX}/upstreams', self.handled(self.upstreams)),
            web.get(f'{PREFIX}/groups', self.handled(self.groups)),
            web.post(f'{PREFIX}/drains', self.handled(self.drain)),
            web.get(f'{PREFIX}/timeline', self.handled(self.timeline)),
        ]

    def handled(self, handler: Any) -> Any:
        """Return a handler that authenticates and answers errors."""

        async def handle(req: web.Request) -> web.Response:
            try:
                self._authenticate(req)
                return web.json_response(await handler(req))
            except CassiashiftError as exc:
                return problems.response(exc, uuid.uuid4().hex)

        return handle

    async def status(self, req: web.Request) -> dict[str, Any]:
        """Return the revision in force on every known host."""
        hosts = {self.cfg.host: self.holder.revision}
        for host, record in self.members.entries.items():
            hosts[host] = record.state.revision
        for host, record in self.members.agents.items():
            hosts[host] = record.announce.revision
        return {
            'host': self.cfg.host,
            'data_centre': self.cfg.data_centre,
            'revision': self.holder.revision,
            'confirmed': self.holder.confirmed,
            'drains': sorted(self.holder.shared.drains),
            'hosts': hosts,
            **self.voter_status(),
        }

    async def manifest(self, req: web.Request) -> dict[str, Any]:
        """Return the manifest in force and its revision."""
        shared = self.holder.shared
        content = None
        if shared.manifest:
            content = msgspec.json.decode(shared.manifest)
        return {'revision': shared.revision, 'manifest': content}

    async def apply(self, req: web.Request) -> dict[str, Any]:
        """Replace the manifest."""
        wish = await _decoded(req, ApplyRequest)
        command = state.ApplyManifest(
            request_id=wish.request_id,
            expected_revision=wish.expected_revision,
            manifest=bytes(wish.manifest),
        )
        return _revision(await self.proposer.propose(command))

    async def drain(self, req: web.Request) -> dict[str, Any]:
        """Drain an upstream or end its drain."""
        wish = await _decoded(req, DrainRequest)
        command = state.SetDrain(wish.request_id, wish.target, wish.draining)
        return _revision(await self.proposer.propose(command))

    async def upstreams(self, req: web.Request) -> dict[str, Any]:
        """Return expected, missing and unexpected upstreams."""
        announced = self.members.upstreams()
        current = self.holder.manifest
        expected = (
            {item.id for item in current.upstreams} if current else set()
        )
        rows = [
            {
                'id': item,
                'expected': item in expected,
                'announced': item in announced,
                'healthy': item in announced and announced[item].healthy,
                'draining': item in self.holder.shared.drains,
                'in_flight': (
                    announced[item].in_flight if item in announced else 0
                ),
            }
            for item in sorted(expected | set(announced))
        ]
        return {
            'upstreams': rows,
            'missing': sorted(expected - set(announced)),
            'unexpected': sorted(set(announced) - expected),
        }

    async def groups(self, req: web.Request) -> dict[str, Any]:
        """Return the groups of the manifest in force."""
        current = self.holder.manifest
        groups = current.groups if current else ()
        return {
            'groups': [
                {
                    'id': group.id,
                    'model': group.model,
                    'data_centre': group.data_centre,
                    'ranks': len(group.ranks),
                }
                for group in groups
            ]
        }

    async def timeline(self, req: web.Request) -> dict[str, Any]:
        """Return the events that this process still holds."""
        wanted = req.query.get('request')
        events = [
            attrs.asdict(event)
            for event in self.events.events()
            if not wanted or event.request == wanted
        ]
        return {
            'host': self.cfg.host,
            'now_s': time.time(),
            'dropped': self.events.dropped(),
            'events': events,
        }

    def _authenticate(self, req: web.Request) -> None:
        key = access.bearer_key(req.headers.get('Authorization'))
        if not access.is_operator(self.cfg.operator_key_hash, key):
            raise CassiashiftError(
                ErrorCode.FORBIDDEN, 'the key is not an operator key'
            )


async def _decoded(req: web.Request, cls: type) -> Any:
    try:
        body = await req.read()
    except web.HTTPRequestEntityTooLarge:
        raise CassiashiftError(
            ErrorCode.BODY_TOO_LARGE, 'the body is too large'
        ) from None
    try:
        return msgspec.json.decode(body, type=cls)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise CassiashiftError(ErrorCode.BAD_REQUEST, str(exc)) from exc


def _revision(result: Any) -> dict[str, Any]:
    match result:
        case state.Accepted():
            return {'revision': result.revision}
        case state.Conflict():
            raise CassiashiftError(
                ErrorCode.CONFLICT,
                f'the current revision is {result.current_revision}',
            )
        case state.Rejected():
            raise CassiashiftError(ErrorCode.MANIFEST_INVALID, result.message)
    raise CassiashiftError(ErrorCode.INTERNAL, 'unknown result')
