"""Entries that serve the real administration API and share one state.

There is no consensus and no link: a proposal is applied at once.
"""

import asyncio
import threading

from aiohttp import web
import attrs

from cassiashift_core import CassiashiftError
from cassiashift_core import ErrorCode
from cassiashift_core import state
from cassiashift_core import Verdict
from cassiashift_daemon import access
from cassiashift_daemon import admin
from cassiashift_daemon import collecting
from cassiashift_daemon import recorder
from cassiashift_daemon import settings
from cassiashift_daemon import shared_state
from cassiashift_daemon import surveys
from cassiashift_net import messages

KEYS = {role.value: f'{role.value}-key' for role in access.OperatorRole}
MAX_BODY_BYTES = 1024 * 1024
START_TIMEOUT_S = 20.0


@attrs.define(eq=False)
class Entry:
    """One entry; stands in for member, proposer, collector and surveyor.

    Attributes:
        lost_answers: how many next changes run but get no answer.
        failures: how many next proposals fail for lack of a quorum.
        is_stalled: new revisions do not come into force here.
        changes: number of proposals received.
    """

    host: str
    deployment: 'Deployment'
    holder: shared_state.SharedHolder = attrs.field(
        factory=shared_state.SharedHolder
    )
    survey_result: surveys.SurveyResult = attrs.field(
        factory=surveys.SurveyResult
    )
    lost_answers: int = 0
    failures: int = 0
    is_stalled: bool = False
    changes: int = 0
    events: recorder.Recorder = None
    operators: list = attrs.field(factory=list)
    url: str = ''

    def request_rollback(self, group, reason):
        """Refuse, as an entry that is not the leader does."""
        self.request_map(group, b'', reason)

    def request_map(self, group, body, reason):
        """Refuse, as an entry that is not the leader does."""
        raise CassiashiftError(ErrorCode.NOT_LEADER, 'not the leader')

    def app(self, operators):
        """Return the HTTP application, with two events recorded."""
        cfg = settings.EntrySettings(host=self.host, data_centre='trnava')
        self.events = recorder.Recorder.from_config(cfg, 'entry')
        self.events.record('call_arrived', 'r1', workspace='sales')
        self.events.record('call_ended', 'r2', note='two\nlines')
        api = admin.AdminApi(
            cfg=cfg,
            holder=self.holder,
            members=self,
            proposer=self,
            collector=self,
            surveyor=self,
            voter_status=lambda: {'role': 'follower', 'leader': 'entry-1'},
            request_map=self.request_map,
            request_rollback=self.request_rollback,
            operators=operators,
        )
        app = web.Application(
            middlewares=[self.drop_answers], client_max_size=MAX_BODY_BYTES
        )
        app.add_routes(api.routes())
        return app

    @property
    def member(self):
        """Return the substitute for membership: this entry."""
        return self

    def upstreams(self):
        """Return the announced upstreams."""
        return self.survey_result.upstreams

    async def survey(self):
        """Return the revisions of all entries and the upstreams."""
        survey_result = surveys.SurveyResult(
            upstreams=dict(self.survey_result.upstreams)
        )
        for entry in self.deployment.entries:
            survey_result.hosts[entry.host] = messages.HostState(
                entry.host, 'trnava', 'entry', entry.holder.revision
            )
        return survey_result

    async def collect(self, request):
        """Return the events of this entry."""
        return collecting.CollectedEvents(self.events.events(request), 0)

    @web.middleware
    async def drop_answers(self, req, handler):
        """Abort the connection after a change if ``lost_answers`` is set."""
        resp = await handler(req)
        if req.method != 'GET' and self.lost_answers:
            self.lost_answers -= 1
            req.transport.abort()
        return resp

    async def propose(self, command):
        """Apply a command to the shared state, or fail as configured."""
        self.changes += 1
        self.operators.append(command.operator)
        if self.failures:
            self.failures -= 1
            raise CassiashiftError(
                ErrorCode.NO_QUORUM, 'no majority', Verdict.MAY_HAVE_RUN
            )
        return self.deployment.apply(command)


@attrs.define(eq=False)
class Deployment:
    """Several entries, served by an event loop in its own thread."""

    machine: state.StateMachine = attrs.field(factory=state.StateMachine)
    entries: list = attrs.field(factory=list)
    _index: int = 0
    _loop: asyncio.AbstractEventLoop = None
    _thread: threading.Thread = None
    _runners: list = attrs.field(factory=list)

    @classmethod
    def start_entries(cls, count):
        """Start a number of entries and return their deployment."""
        deployment = cls()
        deployment.entries = [
            Entry(f'entry-{number + 1}', deployment) for number in range(count)
        ]
        deployment._loop = asyncio.new_event_loop()
        deployment._thread = threading.Thread(
            target=deployment._loop.run_forever
        )
        deployment._thread.start()
        deployment._call(deployment._serve())
        return deployment

    @property
    def urls(self):
        """Return the URLs of the entries, joined by commas."""
        return ','.join(entry.url for entry in self.entries)

    def announce(self, upstreams):
        """Announce upstreams to all entries.

        Args:
            upstreams: requests in flight by id of the upstream.
        """
        states = {
            name: messages.UpstreamState(
                name, 'runner-01', 'trnava', True, False, in_flight
            )
            for name, in_flight in upstreams.items()
        }
        for entry in self.entries:
            entry.survey_result.upstreams.update(states)

    def apply(self, command):
        """Apply a command; the new state reaches all but stalled entries."""
        self._index += 1
        result = self.machine.apply(self._index, state.CODEC.encode(command))
        shared = self.machine.shared.encode()
        for entry in self.entries:
            if not entry.is_stalled:
                entry.holder.apply_snapshot(shared)
        return result

    def close(self):
        """Stop the servers and the thread."""
        self._call(self._cleanup())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(START_TIMEOUT_S)
        self._loop.close()

    async def _serve(self):
        operators = access.Operators(
            tuple(
                access.Operator(role.value, role, access.key_hash(key))
                for role, key in zip(
                    access.OperatorRole, KEYS.values(), strict=True
                )
            )
        )
        for entry in self.entries:
            runner = web.AppRunner(entry.app(operators))
            await runner.setup()
            await web.TCPSite(runner, '127.0.0.1', 0).start()
            entry.url = f'http://127.0.0.1:{runner.addresses[0][1]}'
            self._runners.append(runner)

    async def _cleanup(self):
        for runner in self._runners:
            await runner.cleanup()

    def _call(self, coroutine):
        fut = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return fut.result(START_TIMEOUT_S)
