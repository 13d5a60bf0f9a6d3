"""A shard's scheduler with one machine, driven by hand."""

import json

from copperpass import settings as settings_module
from copperpass.core.jobs.job_table import JobTable
from copperpass.core.kvstore.transactions import TransactionQueue
from copperpass.core.ports import CallOutcome, Outbox
from copperpass.core.scheduling.context import SchedulerContext
from copperpass.core.scheduling.shard_scheduler import ShardScheduler
from copperpass.core.shards.fencing_tokens import base_token
from copperpass.protocol.frames.messages import MachineRoute, Occupancy
from copperpass.protocol.workers import TaskStatus, WorkerHeartbeat
from tests.deployments import MACHINE_TYPE, machine_types
from tests.request_bodies import job, raw_settings


class SchedulerBench:
    """A leader with one machine, driven by hand."""

    def __init__(self):
        cluster = settings_module.parse(raw_settings()).cluster
        self.out, self.jobs, self.now = Outbox(), JobTable(), 10.0
        self.consistent_at = float("-inf")
        transactions = TransactionQueue(self.out, 60.0, 16, 1.0)
        types = machine_types(MACHINE_TYPE)
        self.token = base_token(1, 1)
        context = SchedulerContext(
            cluster,
            self.out,
            transactions,
            self.jobs,
            types,
            {},
            shard=0,
            shards={t.name: 0 for t in cluster.teams},
            epoch=1,
            generation=1,
            token_version=lambda: 50,
            has_authority=lambda now: True,
            consistent_at=lambda: self.consistent_at,
        )
        self.scheduler = ShardScheduler(context, revision=50, now=self.now)
        self.route = MachineRoute("m-1", "box", "a", True, 0, self.token, recorded=True)
        self.scheduler.on_route(self.now, self.route)
        self.scheduler.on_watch_synced(self.now)
        self.sequence = 0
        self.worker_heartbeat([], token=0)
        self.worker_heartbeat([])

    def adopt_machine(self, name, **more):
        """Learn of a machine that an earlier commander may have used."""
        self.scheduler.on_route(
            self.now,
            MachineRoute(
                name,
                "box",
                "a",
                True,
                0,
                base_token(1, 9),
                Occupancy.ANY_SHARD,
                recorded=True,
                **more,
            ),
        )
        return self.scheduler.machines[name]

    def worker_heartbeat(self, tasks, token=None, agent_epoch=1, sequence=None):
        self.now += 1.0
        if sequence is None:
            self.sequence += 1
            sequence = self.sequence
        return self.scheduler.worker_heartbeat(
            self.now, self.heartbeat(tasks, token, agent_epoch, sequence)
        )

    def heartbeat(self, tasks, token=None, agent_epoch=1, sequence=0):
        return WorkerHeartbeat(
            "m-1",
            "10.0.0.9:1",
            "box",
            "a",
            True,
            agent_epoch,
            sequence,
            self.token if token is None else token,
            None,
            [TaskStatus(t, a, s, w) for t, a, s, w in tasks],
        )

    def answer_kvstore(self, status=200):
        for call in self.take_calls("state"):
            call.on_done(self.now, CallOutcome(status, b'{"issue":60}'))

    def take_calls(self, service):
        found = [c for c in self.out.calls if c.service == service]
        self.out.calls[:] = [c for c in self.out.calls if c.service != service]
        return found

    def add_job(self, number=1, tasks=1, version=70):
        record = json.dumps({"spec": job(number, tasks=tasks)}).encode()
        self.jobs.on_watch_event(self.now, f"c/live/req-{number:06d}", record, version)

    def start_tasks(self, tasks=1):
        self.add_job(tasks=tasks)
        self.scheduler.dispatch_round(self.now)
        (call,) = self.take_calls("worker")
        orders = json.loads(call.body)["orders"]
        assert [o["verb"] for o in orders] == ["run"] * tasks
        return call, orders[0]["take"]

    @property
    def job(self):
        return self.jobs.jobs["req-000001"]
