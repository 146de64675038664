"""The administration API for operators."""

import collections
from collections.abc import Callable
import time
from typing import Any
import uuid

from aiohttp import web
import attrs
import msgspec

from cassiashift_core import CassiashiftError
from cassiashift_core import ErrorCode
from cassiashift_core import evacuation
from cassiashift_core import manifest
from cassiashift_core import mapswitch
from cassiashift_core import state
from cassiashift_core import Verdict
from cassiashift_daemon import access
from cassiashift_daemon import collecting
from cassiashift_daemon import logs
from cassiashift_daemon import members
from cassiashift_daemon import proposals
from cassiashift_daemon import settings
from cassiashift_daemon import shared_state
from cassiashift_daemon import surveys
from cassiashift_net import administration
from cassiashift_net import problems

PREFIX = administration.PREFIX
MAX_SHOWN_PROBLEMS = 20

ApplyRequest = administration.ApplyRequest
DrainRequest = administration.DrainRequest
VIEWER = access.OperatorRole.VIEWER
OPERATOR = access.OperatorRole.OPERATOR


@attrs.define(eq=False)
class AdminApi:
    """Handlers of the operators' routes.

    Attributes:
        voter_status: returns role and leader of this host, and the log's
            term and commit index if it votes.
        request_map: begins a switch of a group to an encoded map.
        request_rollback: begins a switch of a group to its previous map.
        decisions: returns the map switches in the log, by group.
        last_plans: returns what the planner decided last, by group.
    """

    cfg: settings.EntrySettings
    holder: shared_state.SharedHolder
    members: members.Members
    proposer: proposals.Proposer
    collector: collecting.EventCollector
    surveyor: surveys.Surveyor
    voter_status: Any
    request_map: Callable[[str, bytes, str], None]
    request_rollback: Callable[[str, str], None]
    decisions: Callable[[], dict[str, mapswitch.GroupDecisions]] = dict
    last_plans: Callable[[], dict[str, administration.LastPlan]] = dict
    operators: access.Operators = attrs.field(
        default=attrs.Factory(
            lambda self: access.Operators.from_config(self.cfg),
            takes_self=True,
        )
    )

    def routes(self) -> list[web.RouteDef]:
        """Return the routes that operators use."""
        return [
            web.get(f'{PREFIX}/status', self.wrap_handler(self.status)),
            web.get(
                f'{PREFIX}/manifest', self.wrap_handler(self.show_manifest)
            ),
            web.put(
                f'{PREFIX}/manifest', self.wrap_handler(self.apply, OPERATOR)
            ),
            web.get(f'{PREFIX}/upstreams', self.wrap_handler(self.upstreams)),
            web.get(f'{PREFIX}/groups', self.wrap_handler(self.groups)),
            web.post(
                f'{PREFIX}/groups/{{group}}/map',
                self.wrap_handler(self.switch_map, OPERATOR),
            ),
            web.post(
                f'{PREFIX}/groups/{{group}}/rollback',
                self.wrap_handler(self.roll_back, OPERATOR),
            ),
            web.post(
                f'{PREFIX}/drains', self.wrap_handler(self.drain, OPERATOR)
            ),
            web.get(
                f'{PREFIX}/evacuations', self.wrap_handler(self.evacuations)
            ),
            web.post(
                f'{PREFIX}/evacuations',
                self.wrap_handler(self.evacuate, OPERATOR),
            ),
            web.get(f'{PREFIX}/timeline', self.wrap_handler(self.timeline)),
        ]

    def wrap_handler(
        self, handler: Any, needed: access.OperatorRole = VIEWER
    ) -> Any:
        """Wrap a handler: check the role, answer its result or its error."""

        async def handle(req: web.Request) -> web.Response:
            try:
                operator = self._authorise(req, needed)
                answer = await handler(req, operator)
            except CassiashiftError as exc:
                return problems.error_response(exc, uuid.uuid4().hex)
            except Exception as exc:
                return _answer_failure(req, exc)
            return web.Response(
                body=msgspec.json.encode(answer),
                content_type='application/json',
            )

        return handle

    async def status(
        self, req: web.Request, operator: access.Operator
    ) -> administration.Status:
        """Return the revision in force on every known host."""
        findings = await self.surveyor.survey()
        hosts = {item.host: item.revision for item in findings.hosts.values()}
        return administration.Status(
            host=self.cfg.host,
            data_centre=self.cfg.data_centre,
            revision=self.holder.revision,
            confirmed=self.holder.confirmed,
            drains=tuple(sorted(self.holder.drains)),
            evacuations=tuple(sorted(self.holder.evacuated)),
            hosts=hosts,
            **self.voter_status(),
        )

    async def show_manifest(
        self, req: web.Request, operator: access.Operator
    ) -> administration.ManifestAnswer:
        """Return the manifest in force and its revision."""
        content = self.holder.view.manifest()
        return administration.ManifestAnswer(self.holder.revision, content)

    async def apply(
        self, req: web.Request, operator: access.Operator
    ) -> administration.Revision:
        """Replace the manifest; return the new revision."""
        body = await _decode_body(req, ApplyRequest)
        content = _decode_manifest(bytes(body.manifest))
        command = state.ApplyManifest(
            request_id=body.request_id,
            expected_revision=body.expected_revision,
            delta=self._diff_manifest(body.expected_revision, content),
            operator=operator.name,
        )
        return await self._change(command, operator)

    async def drain(
        self, req: web.Request, operator: access.Operator
    ) -> administration.Revision:
        """Begin or end a drain of an upstream, or a pause of a group."""
        body = await _decode_body(req, DrainRequest)
        self._check_drain_target(body)
        command = state.SetDrain(
            body.request_id, body.target, body.draining, operator.name
        )
        return await self._change(command, operator)

    async def evacuate(
        self, req: web.Request, operator: access.Operator
    ) -> administration.Revision:
        """Start or end the evacuation of a data centre."""
        body = await _decode_body(req, administration.EvacuationRequest)
        current = self.holder.shared.evacuations
        known = self.holder.view.data_centres() | set(current.records)
        evacuation.check_known(body.data_centre, known)
        order = evacuation.Order(
            body.data_centre,
            body.evacuate,
            current.revision,
            time.time(),
            operator.name,
            body.request_id,
        )
        result = await self._propose(order, operator)
        if not isinstance(result, state.EvacuationOrdered):
            return _to_revision(result)
        evacuation.check_taken(order, result.standing)
        return administration.Revision(result.evacuations.revision)

    async def evacuations(
        self, req: web.Request, operator: access.Operator
    ) -> administration.EvacuationList:
        """Return the data centres, and which of them are evacuated."""
        findings = await self.surveyor.survey()
        in_flight = collections.Counter()
        for item in findings.upstreams.values():
            in_flight[item.data_centre] += item.in_flight
        current = self.holder.shared.evacuations
        names = self.holder.view.data_centres() | current.evacuated
        rows = []
        for name in sorted(names):
            record = current.records.get(name, evacuation.Record(0, False))
            rows.append(
                administration.EvacuationRow(
                    name,
                    record.is_evacuated,
                    record.since_s,
                    record.operator,
                    in_flight[name],
                )
            )
        return administration.EvacuationList(current.revision, tuple(rows))

    async def upstreams(
        self, req: web.Request, operator: access.Operator
    ) -> administration.Upstreams:
        """Return the upstreams of the manifest and those announced.

        Those of only one of the two are listed as missing or unexpected.
        """
        announced = (await self.surveyor.survey()).upstreams
        expected = self.holder.view.ids('upstreams')
        drains = self.holder.drains
        rows = tuple(
            administration.UpstreamRow(
                id=item,
                expected=item in expected,
                announced=item in announced,
                healthy=item in announced and announced[item].healthy,
                draining=item in drains,
                in_flight=(
                    announced[item].in_flight if item in announced else 0
                ),
            )
            for item in sorted(expected | set(announced))
        )
        return administration.Upstreams(
            rows,
            missing=tuple(sorted(expected - set(announced))),
            unexpected=tuple(sorted(set(announced) - expected)),
        )

    async def groups(
        self, req: web.Request, operator: access.Operator
    ) -> administration.Groups:
        """Return the groups of the manifest in force, with their maps."""
        view = self.holder.view
        groups = [view.group(item) for item in sorted(view.ids('groups'))]
        by_group = self.decisions()
        return administration.Groups(
            tuple(
                self._add_plan(_build_group_row(group, by_group.get(group.id)))
                for group in groups
            )
        )

    def _add_plan(
        self, row: administration.GroupRow
    ) -> administration.GroupRow:
        """Return a row with the planner's last decision and the pause."""
        paused = state.pause_target(row.id) in self.holder.drains
        plan = self.last_plans().get(row.id)
        if plan is None:
            return attrs.evolve(row, paused=paused)
        return attrs.evolve(
            row, paused=paused, skew=plan.skew, decision=plan.reason
        )

    async def switch_map(
        self, req: web.Request, operator: access.Operator
    ) -> administration.SwitchBegun:
        """Begin a switch to a map; only the leader of the log can."""
        body = await _decode_body(req, administration.MapRequest)
        group = req.match_info['group']
        reason = body.reason or f'asked for by {operator.name}'
        self.request_map(group, body.map, reason)
        logs.info('switch_requested', group=group, operator=operator.name)
        return administration.SwitchBegun(group)

    async def roll_back(
        self, req: web.Request, operator: access.Operator
    ) -> administration.SwitchBegun:
        """Begin a switch of a group back to its previous map."""
        group = req.match_info['group']
        self.request_rollback(group, f'asked for by {operator.name}')
        logs.info('rollback_requested', group=group, operator=operator.name)
        return administration.SwitchBegun(group)

    async def timeline(
        self, req: web.Request, operator: access.Operator
    ) -> administration.Timeline:
        """Return the events of this entry and of the agents it watches."""
        request_id = req.query.get('request', '')
        gathered = await self.collector.collect(request_id)
        return administration.Timeline(
            host=self.cfg.host,
            now_s=time.time(),
            dropped=gathered.dropped,
            events=tuple(gathered.events),
        )

    def _authorise(
        self, req: web.Request, needed: access.OperatorRole
    ) -> access.Operator:
        key = access.bearer_key(req.headers.get('Authorization'))
        return self.operators.authorise(key, needed)

    async def _change(
        self, command: Any, operator: access.Operator
    ) -> administration.Revision:
        return _to_revision(await self._propose(command, operator))

    async def _propose(self, command: Any, operator: access.Operator) -> Any:
        result = await self.proposer.propose(command)
        logs.info(
            'configuration_change',
            kind=type(command).__name__,
            operator=operator.name,
            request=command.request_id,
            result=type(result).__name__,
        )
        return result

    def _diff_manifest(
        self, expected_revision: int, content: manifest.Manifest
    ) -> manifest.Delta:
        """Return the difference of the new manifest to the expected revision.

        If that revision is not the newest any more, the log will refuse the
        change whatever it holds, so an empty difference is returned.
        """
        revision = self.holder.revision
        if revision < expected_revision:
            raise CassiashiftError(
                ErrorCode.NO_QUORUM,
                f'revision {expected_revision} is not in force here yet',
                retry_after_s=1.0,
            )
        if revision > expected_revision:
            return manifest.Delta()
        new = manifest.to_items(content)
        return manifest.make_delta(self.holder.shared.items, new)

    def _check_drain_target(self, body: DrainRequest) -> None:
        targets = self.holder.view.ids('upstreams')
        targets |= set(self.members.member.upstreams())
        targets |= set(map(state.pause_target, self.holder.view.ids('groups')))
        if not body.draining:
            targets |= self.holder.drains
        if body.target not in targets:
            raise CassiashiftError(
                ErrorCode.NOT_FOUND,
                f'there is no upstream {body.target!r}',
            )


def _build_group_row(
    group: manifest.Group, decisions: mapswitch.GroupDecisions | None
) -> administration.GroupRow:
    row = administration.GroupRow(
        group.id, group.model, group.data_centre, len(group.ranks)
    )
    if decisions is None:
        return row
    current, opened = decisions.standing.current, decisions.opened
    return attrs.evolve(
        row,
        version=current.version if current else 0,
        switching_to=opened.version if opened else 0,
        reason=opened.reason if opened else '',
    )


def _decode_manifest(data: bytes) -> manifest.Manifest:
    """Decode and check a manifest.

    Raises:
        CassiashiftError: with ``MANIFEST_INVALID`` and the first
            ``MAX_SHOWN_PROBLEMS`` problems.
    """
    try:
        content = msgspec.json.decode(data, type=manifest.Manifest)
        faults = manifest.unknown_fields(msgspec.json.decode(data))
    except (msgspec.DecodeError, RecursionError) as exc:
        raise CassiashiftError(ErrorCode.MANIFEST_INVALID, str(exc)) from exc
    faults.extend(manifest.check(content))
    if not faults:
        return content
    shown = '; '.join(str(item) for item in faults[:MAX_SHOWN_PROBLEMS])
    raise CassiashiftError(
        ErrorCode.MANIFEST_INVALID, f'{len(faults)} problems: {shown}'
    )


async def _decode_body(req: web.Request, cls: type) -> Any:
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


def _answer_failure(req: web.Request, exc: Exception) -> web.Response:
    """Log an unexpected exception and answer with a general error."""
    request_id = uuid.uuid4().hex
    logs.error(
        'admin_request_failed',
        request=request_id,
        path=req.path,
        error=repr(exc),
    )
    fault = CassiashiftError(
        ErrorCode.INTERNAL,
        'the request failed; the log has the reason',
        Verdict.MAY_HAVE_RUN,
    )
    return problems.error_response(fault, request_id)


def _to_revision(result: Any) -> administration.Revision:
    match result:
        case state.Accepted():
            return administration.Revision(result.revision)
        case state.Conflict():
            raise CassiashiftError(
                ErrorCode.CONFLICT,
                f'the current revision is {result.current_revision}',
            )
        case state.Rejected():
            raise CassiashiftError(ErrorCode.MANIFEST_INVALID, result.message)
    raise CassiashiftError(ErrorCode.INTERNAL, 'unknown result')
