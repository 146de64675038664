"""Explains where a request would be sent now, without any change of state.

A request's prompt is not known here, so blocks of prompts are not considered;
nor is a shortage of memory at the entry, which depends on the body.
"""

import copy
import random
import time

import attrs
import multidict

from cassiashift_core import CassiashiftError
from cassiashift_core import costs
from cassiashift_core import ErrorCode
from cassiashift_core import fleet
from cassiashift_core import placing
from cassiashift_core import routes
from cassiashift_daemon.direct import calls
from cassiashift_daemon.direct import placement as placements
from cassiashift_net import explanations

REASON_EVACUATED = 'evacuated'
REASON_SILENT = 'silent'


@attrs.frozen
class Explainer:
    """Explains decisions of the placement of one entry."""

    placement: placements.Placement

    def explain(self, req: explanations.Request) -> explanations.Answer:
        """Return what would be done with a request that arrived now.

        Raises:
            CassiashiftError: BAD_REQUEST; NOT_FOUND without a route;
                NO_QUORUM without a configuration.
        """
        placement = self.placement
        rng = random.Random()
        # A copy, so that the next request gets the numbers drawn here.
        rng.setstate(placement.rng.getstate())
        now = time.monotonic()
        call = self._call(req, rng, now)
        fits = placement.estimate(call)
        upstreams = placement.runner.upstreams
        candidates = upstreams.accepting(call.service, now)
        decision = placing.decide(
            _detached(
                placement.snapshot(call, now, candidates, draw=rng.random())
            )
        )
        if fits:
            admittance = placement.admission.preview(
                call, now, decision.chosen, rng
            )
        else:
            admittance = placing.Admittance(
                placing.Outcome.REFUSED, placements.TOO_LARGE
            )
        ages = upstreams.announced_ages_s(call.service, now)
        holder = placement.holder
        return explanations.Answer(
            entry=placement.cfg.host,
            data_centre=placement.cfg.data_centre,
            configuration=holder.version,
            configuration_age_s=now - holder.since,
            evacuated=tuple(sorted(upstreams.evacuated)),
            route=call.route.name,
            service=call.service,
            workspace='' if call.workspace is None else call.workspace.name,
            priority=call.priority,
            explanation=placing.explain(decision, admittance, ages),
            left_out=self._left_out(call.service, candidates, ages),
        )

    def _call(
        self, req: explanations.Request, rng: random.Random, now: float
    ) -> calls.Call:
        table = self.placement.holder.table
        if table is None:
            raise CassiashiftError(
                ErrorCode.NO_QUORUM, 'no configuration is known here yet'
            )
        host = req.host.partition(':')[0]
        route = table.find(host, calls.strip_query(req.path))
        if route is None:
            raise CassiashiftError(
                ErrorCode.NOT_FOUND, 'no route for this host and path'
            )
        workspace = _workspace(req.workspace, table, route)
        wait_s = route.timeout_s
        if req.deadline_ms is not None:
            wait_s = req.deadline_ms / 1000
        return calls.Call(
            id='',
            method='POST',
            path=req.path,
            headers=multidict.CIMultiDictProxy(multidict.CIMultiDict()),
            body=b'',
            route=route,
            workspace=workspace,
            service=_service(req.model, route, rng),
            arrived_at=now,
            deadline_at=now + wait_s,
            ends_at=now + min(wait_s, route.timeout_s),
            size=costs.StatedSize(
                req.prompt_tokens, req.output_tokens, req.length_hint
            ),
        )

    def _left_out(
        self,
        service: str,
        candidates: list[fleet.Upstream],
        ages_s: dict[str, float],
    ) -> tuple[explanations.LeftOut, ...]:
        """Return the upstreams of a service that are no candidates."""
        upstreams = self.placement.runner.upstreams
        ids = {upstream.id for upstream in candidates}
        left_out = []
        for upstream in upstreams.all():
            if upstream.service != service or upstream.id in ids:
                continue
            reason = REASON_SILENT
            if upstream.state is not fleet.UpstreamState.READY:
                reason = upstream.state.value
            elif upstream.data_centre in upstreams.evacuated:
                reason = REASON_EVACUATED
            left_out.append(
                explanations.LeftOut(
                    upstream.id,
                    upstream.data_centre,
                    reason,
                    ages_s.get(upstream.id),
                )
            )
        return tuple(left_out)


def _detached(snapshot: placing.Snapshot) -> placing.Snapshot:
    """Return a snapshot whose breakers may note the time of the decision."""
    return attrs.evolve(
        snapshot,
        candidates=[
            (
                upstream,
                attrs.evolve(condition, breaker=copy.copy(condition.breaker)),
            )
            for upstream, condition in snapshot.candidates
        ],
    )


def _workspace(
    name: str, table: routes.RouteTable, route: routes.Route
) -> routes.Workspace | None:
    """Return the workspace that the request would be authenticated as."""
    found = next(
        (item for item in table.workspaces if item.name == name), None
    )
    if name and found is None:
        # The text is not repeated: it may be a key that was given by mistake.
        raise CassiashiftError(
            ErrorCode.BAD_REQUEST, 'workspace: is not the name of any'
        )
    if route.is_public or not table.workspaces:
        return None
    if found is None:
        raise CassiashiftError(
            ErrorCode.BAD_REQUEST,
            f'workspace: is missing, and route {route.name!r} is not public',
        )
    return found


def _service(model: str, route: routes.Route, rng: random.Random) -> str:
    if not model:
        return calls.pick_service(route, rng)
    if model not in (target.service for target in route.targets):
        raise CassiashiftError(
            ErrorCode.BAD_REQUEST,
            f'model: {model!r} is no service of route {route.name!r}',
        )
    return model
