"""The controllers among fakes of the outside systems: all in memory, one clock.

Messages take time, can be held, lost or delivered late; processes can be cut
off, crash and come back. The rules of the protocol are checked as it runs.
"""

from __future__ import annotations

import itertools
import random

from tests.deployments import TWO_TEAMS
from tests.fakes.cloud import Cloud
from tests.fakes.state import State
from tests.simulation.clock import Clock
from tests.simulation.controllers import Controllers
from tests.simulation.faults import Faults
from tests.simulation.invariants import Invariants
from tests.simulation.network import Network
from tests.simulation.service_checks import ServiceChecks
from tests.simulation.task_index import TaskIndex
from tests.simulation.users import Users


class Simulation(Clock, Network, Faults, Controllers, Users, Invariants, ServiceChecks):
    """A deployment among fakes, with the checks of the rules."""

    def __init__(
        self,
        seed=1,
        nodes=3,
        lease_s=12.0,
        cancel_s=40.0,
        partitioned=False,
        coming=None,
        versions=None,
        gang_wait_s=None,
        gang_peer_s=4.0,
        deployment=TWO_TEAMS,
        on_output=None,
    ):
        self.deployment = deployment
        # The limits that the settings announce; the older version that a member's next process
        # runs (`tests/earlier_versions.py`), by name; and those of the processes there are.
        self.coming, self.versions = coming, versions if versions is not None else {}
        self.mixed, self.running = versions is not None, {}
        # Below a bound on guarantees for each core all teams have one owner.
        self.cores = 0.01 if partitioned else 1.0
        self.rng = random.Random(seed)
        self.now, self.queue, self.order = 100.0, [], itertools.count()
        self.lease_s, self.cancel_s = lease_s, cancel_s
        self.gang_wait_s, self.gang_peer_s = gang_wait_s or 3.5 * lease_s, gang_peer_s
        # Gangs by job and attempt; of their jobs the true length and the saved progress.
        self.gangs, self.lengths, self.progress = {}, {}, {}
        self.gang_rng = random.Random(seed + 7777)
        # Gangs of which a task gave up, seconds that members waited, progress thrown away,
        # jobs whose users asked to cancel; tasks whose images come slower or whose next start
        # is refused.
        self.gave_up_waiting, self.gang_wait_s_total, self.lost_progress = set(), 0.0, []
        self.cancel_requested, self.fetch_s, self.refusals = set(), {}, {}
        self.names = [f"n{i}" for i in range(nodes)]
        self.state, self.cloud = State(self, deployment), Cloud(self)
        self.task_index = TaskIndex()
        self.specs, self.completed, self.cancelled = {}, set(), {}
        self.acknowledged, self.violations = {}, []
        self.acknowledged_by = {name: {} for name in self.names}
        self.nodes, self.life = {}, dict.fromkeys(self.names, 0)
        self.cuts, self.held, self.inbound_blocked = set(), [], set()
        # When the latest frame between two controllers arrives, if their order is kept.
        self.arrivals = {}
        # Whom the state service refuses alone, and whose watches and lists get no answer.
        self.refused, self.watches_blocked = set(), set()
        # Machines that reach no controller, while direct commands reach them.
        self.outbound_blocked = set()
        # Shares of transactions carried out late without an answer, and of reports copied late.
        self.late_writes = self.late_reports = 0.0
        # Shares of transactions whose answer alone is lost, and of direct commands that are carried
        # out seconds late without an answer.
        self.lost_answers = self.late_commands = 0.0
        # When jobs were first submitted and first began; how long after the confirmation of a
        # cancellation tasks still began.
        self.submitted, self.first_start, self.late_starts = {}, {}, []
        # How long a message takes, and an answer of the state service beyond that.
        self.latency, self.slow_state = (0.001, 0.02), 0.0
        self.waits = {}
        self.starts = 0
        # Called with what leaves a controller: when, its name, the kind of output and its parts.
        self.on_output = on_output
        for name in self.names:
            self.boot(name)
