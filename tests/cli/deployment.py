"""Entries with the real administration API over one state machine.

Consensus and links are left out: a proposal is applied at once.
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
    """One entry.

    Attributes:
        lost_answers: answers to changes that get lost after they ran.
        failures: proposals that find no quorum, before they are applied.
        held_back: this entry does not put new revisions in force.
    """

    host: str
    deployment: 'Deployment'
    holder: shared_state.SharedHolder = attrs.field(
        factory=shared_state.SharedHolder
    )
    findings: surveys.Findings = attrs.field(factory=surveys.Findings)
    lost_answers: int = 0
    failures: int = 0
    held_back: bool = False
    changes: int = 0
    events: recorder.Recorder = None
    operators: list = attrs.field(factory=list)
    url: str = ''

    def request_rollback(self, group, reason):
        """Refuse a rollback as an entry does that does not lead."""
        self.request_map(group, b'', reason)

    def request_map(self, group, body, reason):
        """Refuse, as an entry does that does not lead."""
        raise CassiashiftError(ErrorCode.NOT_LEADER, 'not the leader')

    def app(self, operators):
        """Return the HTTP application."""
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
            middlewares=[self.losing], client_max_size=MAX_BODY_BYTES
        )
        app.add_routes(api.routes())
        return app

    @property
    def member(self):
        """Return what stands for membership."""
        return self

    def upstreams(self):
        """Return the announced upstreams."""
        return self.findings.upstreams

    async def survey(self):
        """Return what all entries know."""
        found = surveys.Findings(upstreams=dict(self.findings.upstreams))
        for entry in self.deployment.entries:
            found.hosts[entry.host] = messages.HostState(
                entry.host, 'trnava', 'entry', entry.holder.revision
            )
        return found

    async def collect(self, request):
        """Return the events of this entry."""
        return collecting.Gathered(self.events.events(request), 0)

    @web.middleware
    async def losing(self, req, handler):
        """Lose the answer to a change that was made."""
        resp = await handler(req)
        if req.method != 'GET' and self.lost_answers:
            self.lost_answers -= 1
            req.transport.abort()
        return resp

    async def propose(self, command):
        """Apply a command to the state that all entries share."""
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
    """Some entries, served by a thread's loop."""

    machine: state.StateMachine = attrs.field(factory=state.StateMachine)
    entries: list = attrs.field(factory=list)
    _index: int = 0
    _loop: asyncio.AbstractEventLoop = None
    _thread: threading.Thread = None
    _runners: list = attrs.field(factory=list)

    @classmethod
    def started(cls, count):
        """Return a deployment of some entries that serve."""
        found = cls()
        found.entries = [
            Entry(f'entry-{number + 1}', found) for number in range(count)
        ]
        found._loop = asyncio.new_event_loop()
        found._thread = threading.Thread(target=found._loop.run_forever)
        found._thread.start()
        found._call(found._serve())
        return found

    @property
    def urls(self):
        """Return the entries' URLs as the setting takes them."""
        return ','.join(entry.url for entry in self.entries)

    def announce(self, upstreams):
        """Let an agent announce upstreams, as id and requests in flight."""
        states = {
            name: messages.UpstreamState(
                name, 'runner-01', 'trnava', True, False, in_flight
            )
            for name, in_flight in upstreams.items()
        }
        for entry in self.entries:
            entry.findings.upstreams.update(states)

    def apply(self, command):
        """Apply a command and put the result in force."""
        self._index += 1
        result = self.machine.apply(self._index, state.CODEC.encode(command))
        shared = self.machine.shared.encode()
        for entry in self.entries:
            if not entry.held_back:
                entry.holder.take_snapshot(shared)
        return result

    def close(self):
        """Stop serving."""
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
