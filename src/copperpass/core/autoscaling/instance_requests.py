"""Sends the calls to the cloud that request and release machines."""

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

# The share of the cloud's request rate that releases and listings may use. Unused calls accumulate
# up to `BURST_S` seconds of the full rate.
CALL_RATE_RATIO = 0.9
BURST_S = 1.8
MAX_ATTEMPTS = 3
CALL_TIMEOUT_S = 3.0
# A release that the cloud has not confirmed is repeated after this time.
RELEASE_RETRY_S = 2.0
MAX_RELEASES_PER_CALL = 100
HTTP_TOO_MANY_REQUESTS = 429


class InstanceRequests:
    """Requests machines and releases them, under the authority of one term.

    An instance request is stored in the inventory before it is sent, under an id that is never used
    for another request. The cloud handles repeated ids idempotently, so a later term can repeat the
    request to learn which machines it provisioned.
    """

    def __init__(
        self, context: ClusterManagerContext, state: ClusterState, records: MachineRecords
    ) -> None:
        self.state, self.records, self.inventory = state, records, state.inventory
        self.outbox, self.election = context.outbox, context.election
        rps = context.cluster.cloud.rps
        # Limits releases and listings; instance requests are limited by the scale-out plan.
        self.call_budget = TokenBucket(CALL_RATE_RATIO * rps, max(BURST_S * rps, 2.0))
        self.request_count = 0

    def resume(self, now: float) -> None:
        """Repeat the stored requests of earlier terms: the cloud may have carried them out."""
        for request_id, (machine_group, count) in list(self.inventory.pending_requests.items()):
            shard = self.state.shard_with_highest_demand()
            request = InstanceRequest(machine_group, count, shard)
            self.state.pending_requests[request_id] = request
            self._send(request_id, request, MAX_ATTEMPTS)

    def provision(self, now: float, machine_group: MachineGroup, count: int, shard: int) -> None:
        """Store a request for machines of a shard, then send it."""
        self.request_count += 1
        # The epoch belongs to this term alone, so no node ever reuses the id.
        request_id = f"b-{self.state.epoch}-{self.request_count}"
        request = InstanceRequest(machine_group, count, shard)
        self.state.pending_requests[request_id] = request

        def on_stored(done_at: float, may_send: bool) -> None:
            if may_send and self.election.has_authority(done_at):
                self._send(request_id, request, MAX_ATTEMPTS)
            else:
                self.state.pending_requests.pop(request_id, None)
                self.inventory.record_answer(done_at, request_id, [])

        self.inventory.record_request(now, request_id, machine_group, count, on_stored)

    def _send(self, request_id: str, request: InstanceRequest, attempts: int) -> None:
        """Send a stored request to the cloud, in at most `attempts` attempts."""

        def on_done(done_at: float, outcome: CallOutcome) -> None:
            if outcome.status == 200:
                self._on_machines(done_at, request_id, request, outcome.body)
                return
            retryable = outcome.status in (NO_ANSWER, HTTP_TOO_MANY_REQUESTS)
            if retryable and attempts > 1 and self.election.has_authority(done_at):
                self._send(request_id, request, attempts - 1)
                return
            self.state.pending_requests.pop(request_id, None)
            self.state.backoff.on_exhausted(group, done_at, self.state.boot_s / 2)
            # Without a response the cloud may have carried out the request. It stays stored, so
            # that a later term repeats it.
            if outcome.status != NO_ANSWER:
                self.inventory.record_answer(done_at, request_id, [])

        group = request.machine_group
        body = instance_request_body(
            request_id, group.type, group.zone, group.spot, request.machines
        )
        self.outbox.calls.append(
            Call(ExternalService.CLOUD, "POST", INSTANCES_PATH, on_done, body, CALL_TIMEOUT_S)
        )

    def _on_machines(
        self, now: float, request_id: str, request: InstanceRequest, body: bytes
    ) -> None:
        """Add the machines of a request that the cloud has carried out, in full or in part."""
        state, machine_group = self.state, request.machine_group
        pending = state.pending_requests.pop(request_id, None)
        shard = pending.shard if pending is not None else state.shard_with_highest_demand()
        answer = decode(body, InstanceAnswer)
        names = answer.machines if answer else []
        if len(names) < request.machines:
            state.backoff.on_exhausted(machine_group, now, state.boot_s / 2)
        else:
            state.backoff.on_fulfilled(machine_group)
        self.outbox.log(
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
        """Release machines, and repeat releases that the cloud has not confirmed in time.

        Machines beyond the call budget or the limit of one call are released by a later call.
        """
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
        self.outbox.calls.append(
            Call(ExternalService.CLOUD, "POST", RELEASE_PATH, on_done, body, CALL_TIMEOUT_S)
        )
