"""Learns the cost of requests by route and workspace.

A workspace with few requests at a route is estimated mostly by the mean of
the route. A wrong estimate affects where a request goes and what counts as
work there. Its effect is limited: ratios of actual to hinted lengths count up
to a factor of 16, an output never exceeds the stated maximum, and the bound
on requests in flight holds whatever is expected of them.
"""

import collections
import math

import attrs

from cassiashift_core.costs import estimates
from cassiashift_core.costs import moments
from cassiashift_core.costs import timing
from cassiashift_core import routes

# Pairs of route and workspace; the least recently used are dropped. With the
# routes they take less than 2 MB.
MAX_WORKSPACES = 1500
MAX_ROUTES = 512
LARGEST_RATIO = 16.0
# Assumed until there are observations, where the engine states no usual
# sizes. They are those of a short chat.
DEFAULT_PROMPT_TOKENS = 500.0
DEFAULT_OUTPUT_TOKENS = 200.0
DEFAULT_TIME_S = 0.5
# Dispersion of what is only assumed: a factor of e either way.
UNKNOWN_SIGMA = 1.0


@attrs.frozen
class Request:
    """A request whose cost is to be estimated.

    Attributes:
        workspace: empty if it is of none.
        engine: engine of its service; None for plain services.
    """

    route: str
    workspace: str = ''
    stated: estimates.StatedSize = estimates.StatedSize()
    engine: routes.Engine | None = None


@attrs.define(eq=False)
class _Profile:
    """What was learned of the requests of a route, or of a workspace there."""

    prompt: moments.LogMoments = attrs.field(factory=moments.LogMoments)
    output: moments.LogMoments = attrs.field(factory=moments.LogMoments)
    ratio: moments.LogMoments = attrs.field(factory=moments.LogMoments)
    time: moments.LogMoments = attrs.field(factory=moments.LogMoments)


# Read in place of the profile of a route without observations.
_UNKNOWN = _Profile()


@attrs.define(eq=False)
class CostEstimator:
    """Estimates costs and learns from the actual ones."""

    _routes: collections.OrderedDict = attrs.field(
        factory=collections.OrderedDict
    )
    _workspaces: collections.OrderedDict = attrs.field(
        factory=collections.OrderedDict
    )

    def estimate(self, req: Request) -> estimates.Cost:
        """Return the expected cost of a request; nothing is changed."""
        prompt = self._prompt(req)
        output = self._output(req)
        engine = req.engine
        prompt_s = 0.0
        time = self._learned(req, 'time')
        if timing.has_timings(engine):
            prompt_s = timing.prompt_s(engine, prompt.mean)
            expected_s = timing.remaining_s(
                engine, prompt_s, output.mean, 1, prompt.mean + output.mean / 2
            )
            time = estimates.Estimate(expected_s, output.sigma)
        elif time is None:
            time = estimates.Estimate(DEFAULT_TIME_S, UNKNOWN_SIGMA)
        return estimates.Cost(
            prompt_tokens=prompt,
            output_tokens=output,
            tokens=estimates.Estimate(
                prompt.median + output.median,
                max(prompt.sigma, output.sigma),
                prompt.largest + output.largest,
            ),
            prompt_s=prompt_s,
            time_s=time,
        )

    def record(self, req: Request, output_tokens: int, time_s: float) -> None:
        """Record the actual cost of a request that was answered.

        Args:
            output_tokens: 0 if it is not known.
            time_s: time at the upstream.
        """
        for profile in (self._route(req), self._workspace(req)):
            profile.time.record(time_s)
            if req.stated.prompt_tokens:
                profile.prompt.record(req.stated.prompt_tokens)
            if output_tokens <= 0:
                continue
            profile.output.record(output_tokens)
            if req.stated.hinted_tokens:
                ratio = output_tokens / req.stated.hinted_tokens
                profile.ratio.record(
                    min(max(ratio, 1 / LARGEST_RATIO), LARGEST_RATIO)
                )

    def _prompt(self, req: Request) -> estimates.Estimate:
        if req.stated.prompt_tokens:
            size = req.stated.prompt_tokens
            return estimates.Estimate(size, 0.0, size)
        usual = 0.0 if req.engine is None else req.engine.usual_prompt_tokens
        return self._learned(req, 'prompt') or estimates.Estimate(
            usual or DEFAULT_PROMPT_TOKENS, UNKNOWN_SIGMA
        )

    def _output(self, req: Request) -> estimates.Estimate:
        stated = req.stated
        largest = stated.max_output_tokens or math.inf
        if stated.hinted_tokens:
            ratio = self._learned(req, 'ratio') or estimates.Estimate(
                1.0, UNKNOWN_SIGMA
            )
            median, sigma = stated.hinted_tokens * ratio.median, ratio.sigma
        else:
            usual = 0 if req.engine is None else req.engine.usual_output_tokens
            learned = self._learned(req, 'output') or estimates.Estimate(
                usual or DEFAULT_OUTPUT_TOKENS, UNKNOWN_SIGMA
            )
            median, sigma = learned.median, learned.sigma
        return estimates.Estimate(min(median, largest), sigma, largest)

    def _learned(self, req: Request, field: str) -> estimates.Estimate | None:
        """Return the estimate of a field; None without observations."""
        route = getattr(self._routes.get(req.route, _UNKNOWN), field)
        workspace = self._workspaces.get((req.route, req.workspace))
        learned = route
        if workspace is not None:
            learned = getattr(workspace, field).combined(route)
        if not learned.count:
            return None
        # Few observations say little of the dispersion.
        sigma = max(learned.variance**0.5, UNKNOWN_SIGMA / learned.count)
        return estimates.Estimate(math.exp(learned.mean), sigma)

    def _route(self, req: Request) -> _Profile:
        return _touch(self._routes, req.route, MAX_ROUTES)

    def _workspace(self, req: Request) -> _Profile:
        key = (req.route, req.workspace)
        return _touch(self._workspaces, key, MAX_WORKSPACES)


def _touch(
    profiles: collections.OrderedDict, key: object, largest: int
) -> _Profile:
    """Return the profile of a key, the most recently used from now on."""
    profile = profiles.get(key)
    if profile is None:
        profile = profiles[key] = _Profile()
        if len(profiles) > largest:
            profiles.popitem(last=False)
    else:
        profiles.move_to_end(key)
    return profile
