"""Tests that verdicts agree with what ran at a simulated agent.

The entry does not see the faults, only the frames and connections. Late
frames arrive after the decision on the call.
"""

import enum
import itertools

import attrs
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import retries
from cassiashift_core import Verdict

End = retries.AttemptEnd


class Fault(enum.Enum):
    """What happens to one attempt."""

    NONE = 'none'
    AGENT_DRAINING = 'agent_draining'
    CONNECT_FAILED = 'connect_failed'
    CUT_IN_REQUEST = 'cut_in_request'
    RESET_FRAME_LOST = 'reset_frame_lost'
    RESET_FRAME_LATE = 'reset_frame_late'
    RESET_AFTER_RUN = 'reset_after_run'
    RESET_IN_ANSWER = 'reset_in_answer'
    TIMEOUT_FRAME_LATE = 'timeout_frame_late'
    TIMEOUT_FRAME_LOST = 'timeout_frame_lost'
    TIMEOUT_AFTER_RUN = 'timeout_after_run'
    TIMEOUT_AGENT_SILENT = 'timeout_agent_silent'
    CANCEL_BEFORE_SEND = 'cancel_before_send'
    CANCEL_FRAME_LATE = 'cancel_frame_late'
    CANCEL_AFTER_RUN = 'cancel_after_run'
    UPSTREAM_DIES_BEFORE_RUN = 'upstream_dies_before_run'
    UPSTREAM_DIES_AFTER_RUN = 'upstream_dies_after_run'
    AGENT_RESTARTS_BEFORE_ARRIVAL = 'agent_restarts_before_arrival'
    AGENT_RESTARTS_AFTER_RUN = 'agent_restarts_after_run'
    DUPLICATED_FRAME = 'duplicated_frame'


END_WITHOUT_ARRIVAL = {
    Fault.AGENT_DRAINING: End.REFUSED_BY_AGENT,
    Fault.CONNECT_FAILED: End.CONNECT_FAILED,
    Fault.CUT_IN_REQUEST: End.RESET_BEFORE_LAST_BYTE,
    Fault.UPSTREAM_DIES_BEFORE_RUN: End.UPSTREAM_DEAD,
}


@attrs.define
class AgentStub:
    """An agent with its upstream; ``ran`` counts the calls that ran."""

    fences: retries.FenceTable = attrs.field(
        factory=lambda: retries.FenceTable(incarnation=1, max_numbers=2)
    )
    ran: int = 0

    def receive(self, attempt):
        """Receive an attempt and run it if the agent accepts it."""
        arrival = self.fences.record_arrival(attempt)
        self.ran += arrival.accepted
        return arrival

    def restart(self):
        """Restart the agent, which loses its record of attempts."""
        self.fences = retries.FenceTable(self.fences.incarnation + 1)


@attrs.define
class CallSimulation:
    """One call, its agents and the frames that arrive late."""

    plan: retries.AttemptPlan
    agents: list[AgentStub]
    late_frames: list = attrs.field(factory=list)
    number: int = 0

    def run(self, faults):
        """Make one attempt per fault; return the last decision."""
        for fault in [*faults, Fault.NONE]:
            agent = self.agents[self.number % len(self.agents)]
            attempt = retries.AttemptId(
                'e1', 1, self.number, agent.fences.incarnation
            )
            self.number += 1
            self.plan.begin_attempt(str(self.number))
            decision = self.plan.record_end(
                self.simulate_attempt(fault, agent, attempt), now=1.0
            )
            if not decision.retry:
                break
        for agent, attempt in self.late_frames:
            agent.receive(attempt)
        return decision

    def simulate_attempt(self, fault, agent, attempt):
        """Return the end of an attempt as the entry sees it."""
        if fault.value.startswith(('timeout', 'cancel')):
            return self.end_of_timeout_or_cancel(fault, agent, attempt)
        if fault.value.startswith('reset'):
            return self.end_of_reset(fault, agent, attempt)
        if fault in END_WITHOUT_ARRIVAL:
            return END_WITHOUT_ARRIVAL[fault]
        if fault is Fault.AGENT_RESTARTS_BEFORE_ARRIVAL:
            agent.restart()
        arrival = agent.receive(attempt)
        if not arrival.accepted:
            assert_that(arrival.verdict, matchers.Is(Verdict.NOT_RUN))
            return End.REFUSED_BY_AGENT
        if fault is Fault.DUPLICATED_FRAME:
            self.late_frames.append((agent, attempt))
        if fault is Fault.UPSTREAM_DIES_AFTER_RUN:
            return End.UPSTREAM_DEAD
        if fault is Fault.AGENT_RESTARTS_AFTER_RUN:
            agent.restart()
            return self.end_after_fence(agent, attempt)
        self.plan.record_answer_byte()
        return End.ANSWERED

    def end_of_reset(self, fault, agent, attempt):
        """Return the end of an attempt whose connection broke."""
        if fault is Fault.RESET_FRAME_LATE:
            self.late_frames.append((agent, attempt))
        if fault in (Fault.RESET_AFTER_RUN, Fault.RESET_IN_ANSWER):
            agent.receive(attempt)
        if fault is Fault.RESET_IN_ANSWER:
            self.plan.record_answer_byte()
        return End.RESET_AFTER_LAST_BYTE

    def end_of_timeout_or_cancel(self, fault, agent, attempt):
        """Return the end of an attempt that the entry gave up on."""
        cancelled = fault.value.startswith('cancel')
        if fault is Fault.CANCEL_BEFORE_SEND:
            return End.CANCELLED_UNSENT
        if fault.value.endswith('late'):
            self.late_frames.append((agent, attempt))
        if fault.value.endswith('after_run'):
            agent.receive(attempt)
        if fault is Fault.TIMEOUT_AGENT_SILENT:
            self.late_frames.append((agent, attempt))
            return End.TIMEOUT_UNFENCED
        return self.end_after_fence(agent, attempt, cancelled)

    @staticmethod
    def end_after_fence(agent, attempt, cancelled=False):
        """Request a fence from the agent and return the end that it proves."""
        answer = agent.fences.fence(attempt)
        if answer.verdict is Verdict.NOT_RUN:
            return End.CANCELLED_FENCED if cancelled else End.TIMEOUT_FENCED
        return End.CANCELLED_SENT if cancelled else End.TIMEOUT_UNFENCED


def run_call(faults, idempotent, agents):
    plan = retries.AttemptPlan(
        retries.CallTraits(idempotent=idempotent), retries.RetryBudget()
    )
    simulation = CallSimulation(plan, [AgentStub() for _ in range(agents)])
    decision = simulation.run(faults)
    return decision, sum(agent.ran for agent in simulation.agents)


@pytest.mark.parametrize('agents', [1, 2])
@pytest.mark.parametrize('idempotent', [True, False])
def test_verdict_agrees_with_what_ran(idempotent, agents):
    chains = [(fault,) for fault in Fault]
    chains += itertools.product(Fault, repeat=2)
    for chain in chains:
        decision, ran = run_call(chain, idempotent, agents)
        if decision.verdict is Verdict.NOT_RUN:
            assert_that(ran, matchers.Equals(0), str(chain))
        if decision.verdict is Verdict.RAN:
            assert_that(ran, matchers.GreaterThan(0), str(chain))
        if not idempotent:
            assert_that(ran, matchers.LessThan(2), str(chain))


def test_faults_produce_every_verdict():
    seen = {run_call((fault,), False, 1)[0].verdict for fault in Fault}
    assert_that(seen, matchers.Equals(set(Verdict)))
