"""Calls to the cloud that request machines and release them."""

from __future__ import annotations

from copperpass.core.autoscaling.machine_groups import MachineGroup
from copperpass.core.autoscaling.machine_records import MachineRecords
from copperpass.core.autoscaling.state import (
    ClusterManagerContext,
    ClusterState,
    InstanceRequest,
    ManagedMachine,
)
from copperpass.core.kvstore.token_bucket import TokenBucket
from copperpass.core.ports import NO_ANSWER, Call, CallOutcome, ExternalService
from copperpass.log_events import LogEvent, LogLevel
from copperpass.protocol.cloud import (
    INSTANCES_PATH,
    RELEASE_PATH,
    InstanceAnswer,
    instance_request_body,
    release_body,
)
from copperpass.protocol.frames.messages import Occupancy
from copperpass.protocol.json_codec import decode

# Releases and listings may take this part of the cloud's rate; as much of it as accrues in
# `BURST_S` seconds can be saved up.
RATE_PART = 0.9
BURST_S = 1.8
MAX_ATTEMPTS = 3
CALL_TIMEOUT_S = 3.0
# Seconds after which a release that the cloud hasn't confirmed is repeated.
RELEASE_RETRY_S = 2.0
MAX_RELEASES_PER_CALL = 100
TOO_MANY_REQUESTS = 429


class InstanceRequests:
    """Requests machines and releases them, under the authority of one term.

    A request is stored in the inventory before it is sent, under an id that no other node ever
    uses, so that a later term can repeat it and learn which machines it brought: it is idempotent.
    """

    def __init__(
        self, context: ClusterManagerContext, state: ClusterState, records: MachineRecords
    ) -> None:
        self.state, self.records, self.inventory = state, records, state.inventory
        self.out, self.election = context.out, context.election
        rps = context.cluster.cloud.rps
        # For releases and listings; requests for machines are bounded by the plan.
        self.call_budget = TokenBucket(RATE_PART * rps, max(BURST_S * rps, 2.0))
        self.request_count = 0

    def resume(self, now: float) -> None:
        """Repeat the requests of earlier terms: they may have been carried out."""
        for request_id, (machine_group, count) in list(self.inventory.pending_requests.items()):
            shard = self.state.neediest_shard()
            request = InstanceRequest(machine_group, count, shard)
            self.state.pending_requests[request_id] = request
            self._send(request_id, request, MAX_ATTEMPTS)

    def provision(self, now: float, machine_group: MachineGroup, count: int, shard: int) -> None:
        """Request machines for a shard."""
        self.request_count += 1
        # The epoch is this authority's alone, so no node ever uses the id again.
        request_id = f"b-{self.state.epoch}-{self.request_count}"
        request = InstanceRequest(machine_group, count, shard)
        self.state.pending_requests[request_id] = request

        def on_stored(done_at: float, ok: bool) -> None:
            if ok and self.election.has_authority(done_at):
                self._send(request_id, request, MAX_ATTEMPTS)
            else:
                self.state.pending_requests.pop(request_id, None)
                self.inventory.record_answer(done_at, request_id, [])

        self.inventory.record_request(now, request_id, machine_group, count, on_stored)

    def _send(self, request_id: str, request: InstanceRequest, attempts: int) -> None:
        """Send a stored request to the cloud, with so many attempts at the most."""

        def on_done(done_at: float, outcome: CallOutcome) -> None:
            if outcome.status == 200:
                self._on_machines(done_at, request_id, request, outcome.body)
                return
            retryable = outcome.status in (NO_ANSWER, TOO_MANY_REQUESTS)
            if retryable and attempts > 1 and self.election.has_authority(done_at):
                self._send(request_id, request, attempts - 1)
                return
            self.state.pending_requests.pop(request_id, None)
            self.state.backoff.on_exhausted(group, done_at, self.state.boot_s / 2)
            # Without an answer it may have been carried out: it stays stored for a later term.
            if outcome.status != NO_ANSWER:
                self.inventory.record_answer(done_at, request_id, [])

        group = request.machine_group
        body = instance_request_body(
            request_id, group.type, group.zone, group.spot, request.machines
        )
        self.out.calls.append(
            Call(ExternalService.CLOUD, "POST", INSTANCES_PATH, on_done, body, CALL_TIMEOUT_S)
        )

    def _on_machines(
        self, now: float, request_id: str, request: InstanceRequest, body: bytes
    ) -> None:
        """The cloud has carried out a request, in full or in part."""
        state, machine_group = self.state, request.machine_group
        pending = state.pending_requests.pop(request_id, None)
        shard = pending.shard if pending is not None else state.neediest_shard()
        answer = decode(body, InstanceAnswer)
        names = answer.machines if answer else []
        if len(names) < request.machines:
            state.backoff.on_exhausted(machine_group, now, state.boot_s / 2)
        else:
            state.backoff.on_fulfilled(machine_group)
        self.out.log(
            LogLevel.INFO,
            LogEvent.MACHINES_PROVISIONED,
            machine_group=str(tuple(machine_group)),
            count=len(names),
            shard=shard,
        )
        self.inventory.record_answer(now, request_id, names)
        for name in names:
            if name not in state.machines and name not in state.deleted_at:
                self.records.add(now, name, machine_group, shard, Occupancy.EMPTY)

    def release(self, now: float, machines: list[ManagedMachine]) -> None:
        """Release machines, together with those whose release hasn't been confirmed in time."""
        if not self.election.has_authority(now):
            return
        for machine in machines:
            machine.deleting = True
        unconfirmed = [
            machine
            for machine in self.state.machines.values()
            if machine.deleting and now - machine.deletion_sent_at > RELEASE_RETRY_S
        ][:MAX_RELEASES_PER_CALL]
        if not unconfirmed or not self.call_budget.take(now, 1.0):
            return
        for machine in unconfirmed:
            machine.deletion_sent_at = now

        def on_done(done_at: float, outcome: CallOutcome) -> None:
            if outcome.status == 200:
                for machine in unconfirmed:
                    self.records.mark_deleted(done_at, machine)

        body = release_body([machine.route.name for machine in unconfirmed])
        self.out.calls.append(
            Call(ExternalService.CLOUD, "POST", RELEASE_PATH, on_done, body, CALL_TIMEOUT_S)
        )
