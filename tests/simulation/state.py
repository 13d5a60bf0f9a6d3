"""What a simulation consists of: its parameters, its processes, and its record of what happened."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable
from typing import Any

from tests.deployments import TWO_TEAMS
from tests.fakes.cloud import Cloud
from tests.fakes.gang import Gang
from tests.fakes.state import KeyValueStore
from tests.simulation.task_index import TaskIndex

Action = Callable[[], object]


class SimulationState:
    """All attributes of a simulation; the classes above it act on them."""

    def __init__(
        self,
        seed=1,
        nodes=3,
        lease_s=12.0,
        cancel_s=40.0,
        partitioned=False,
        next_limits=None,
        versions=None,
        gang_wait_s=None,
        gang_peer_s=4.0,
        deployment=TWO_TEAMS,
        on_output=None,
    ):
        self.deployment = deployment
        # The limits that the settings announce; the older version that a member's next process
        # runs (`tests/earlier_versions.py`), by name; and those of the processes there are.
        self.next_limits = next_limits
        self.versions: dict[str, Any] = versions if versions is not None else {}
        self.mixed_versions = versions is not None
        self.running_versions: dict[str, Any] = {}
        # Below a bound on guarantees for each core all teams have one owner.
        self.controller_cores = 0.01 if partitioned else 1.0
        self.rng = random.Random(seed)
        self.now = 100.0
        self.pending_events: list[tuple[float, int, Action]] = []
        self.event_numbers = itertools.count()
        self.lease_s, self.cancel_s = lease_s, cancel_s
        self.gang_wait_s, self.gang_peer_s = gang_wait_s or 3.5 * lease_s, gang_peer_s
        # Gangs by job and attempt; of their jobs the true length and the saved progress.
        self.gangs: dict[tuple[str, int], Gang] = {}
        self.gang_runtime_s: dict[str, float] = {}
        self.saved_progress: dict[str, float] = {}
        self.gang_rng = random.Random(seed + 7777)
        # Gangs of which a task gave up, seconds that members waited, progress thrown away,
        # jobs whose users asked to cancel; tasks whose images come slower or whose next start
        # is refused.
        self.gave_up_waiting: set[tuple[str, int]] = set()
        self.gang_wait_s_total = 0.0
        self.lost_progress: list[tuple[str, int, str, float]] = []
        self.cancel_requested: set[str] = set()
        self.image_pull_s: dict[str, float] = {}
        self.start_refusals: dict[str, str] = {}
        self.node_names = [f"n{i}" for i in range(nodes)]
        self.kvstore, self.cloud = KeyValueStore(self, deployment), Cloud(self)
        self.task_index = TaskIndex()
        # Jobs by ID, tasks that have completed, and when cancellations were confirmed.
        self.specs: dict[str, dict[str, Any]] = {}
        self.completed: set[str] = set()
        self.cancelled: dict[str, float] = {}
        # The latest state that any user was answered for a job, and that each controller answered.
        self.acknowledged: dict[str, str] = {}
        self.acknowledged_by: dict[str, dict[str, str]] = {name: {} for name in self.node_names}
        self.violations: list[str] = []
        # Running controllers, and how often each has started or crashed.
        self.nodes: dict[str, Any] = {}
        self.incarnation = dict.fromkeys(self.node_names, 0)
        # Pairs that are partitioned, messages held until the partition heals, and machines and
        # controllers that get no messages from controllers.
        self.cut_links: set[frozenset[str]] = set()
        self.held_messages: list[Action] = []
        self.inbound_blocked: set[str] = set()
        # When the latest frame between two controllers arrives, if their order is kept.
        self.last_arrivals: dict[tuple[str, str], float] = {}
        # Whom the state service refuses alone, and whose watches and lists get no answer.
        self.kvstore_refuses: set[str] = set()
        self.watches_blocked: set[str] = set()
        # Machines that reach no controller, while direct commands reach them.
        self.outbound_blocked: set[str] = set()
        # Shares of transactions carried out late without an answer, and of reports copied late.
        self.late_writes = self.late_heartbeats = 0.0
        # Shares of transactions whose answer alone is lost, and of direct commands that are carried
        # out seconds late without an answer.
        self.lost_answers = self.late_commands = 0.0
        # When jobs were first submitted and first began; how long after the confirmation of a
        # cancellation tasks still began.
        self.submitted: dict[str, float] = {}
        self.first_start: dict[str, float] = {}
        self.starts_after_cancel_s: list[float] = []
        # How long a message takes, and an answer of the state service beyond that.
        self.latency_s, self.kvstore_delay_s = (0.001, 0.02), 0.0
        # Since when each job has waited beside capacity that fits it.
        self.waiting_since: dict[str, float] = {}
        self.starts = 0
        # Called with what leaves a controller: when, its name, the kind of output and its parts.
        self.on_output = on_output
