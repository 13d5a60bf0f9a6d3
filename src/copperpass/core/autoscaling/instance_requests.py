"""Calls to the cloud that rent machines and return them."""

from __future__ import annotations

from copperpass.core.autoscaling.machine_groups import MachineGroup
from copperpass.core.autoscaling.machine_records import MachineRecords
from copperpass.core.autoscaling.state import (
    InstanceRequest,
    ManagedMachine,
    ManagerContext,
    ManagerState,
)
from copperpass.core.kvstore.transactions import TokenBucket
from copperpass.core.ports import NO_ANSWER, Call, CallOutcome
from copperpass.protocol.cloud import (
    INSTANCES_PATH,
    RELEASE_PATH,
    InstanceAnswer,
    instance_request_body,
    release_body,
)
from copperpass.protocol.frames.messages import Occupancy
from copperpass.protocol.json_codec import decode

# Returns and lists of machines may take this part of the cloud's rate; as much of it as comes up
# in the second figure's seconds can be saved up.
RATE_PART = 0.9
BURST_S = 1.8
TRIES = 3
CALL_TIMEOUT_S = 3.0
# Seconds after which a return that the cloud hasn't confirmed is asked again.
RELEASE_AGAIN_S = 2.0
RELEASES_PER_CALL = 100


class InstanceRequests:
    """Books machines and returns them.

    A booking is stored in the fleet's record before the cloud is asked, under a name that no other
    node ever uses, so that a later term can ask again and learn what it brought.
    """

    def __init__(
        self, context: ManagerContext, state: ManagerState, records: MachineRecords
    ) -> None:
        self.state, self.records, self.fleet_store = state, records, state.fleet_store
        self.out, self.election = context.out, context.election
        rps = context.cluster.cloud.rps
        self.calls = TokenBucket(RATE_PART * rps, max(BURST_S * rps, 2.0))
        self.count = 0

    def resume(self, now: float) -> None:
        """Ask again for the bookings of terms before: they may have been carried out."""
        for request, (stored, count) in list(self.fleet_store.booked.items()):
            instance_request = InstanceRequest(
                MachineGroup(*stored), count, self.state.neediest_shard()
            )
            self.state.pending_requests[request] = instance_request
            self._send(now, instance_request, request, TRIES)

    def provision(self, now: float, machine_group: MachineGroup, count: int, shard: int) -> None:
        """Book machines for a shard."""
        self.count += 1
        # The token is this authority's alone, so the name is never used again by any node.
        request = f"b-{self.state.epoch}-{self.count}"
        instance_request = InstanceRequest(machine_group, count, shard)
        self.state.pending_requests[request] = instance_request

        def stored(n: float, ok: bool) -> None:
            if ok and self.election.has_authority(n):
                self._send(n, instance_request, request, TRIES)
            else:
                self.state.pending_requests.pop(request, None)
                self.fleet_store.ended(n, request, [])

        self.fleet_store.book(now, request, machine_group, count, stored)

    def _send(
        self, now: float, instance_request: InstanceRequest, request: str, tries: int
    ) -> None:
        """Ask the cloud for a booking's machines."""
        machine_group = instance_request.machine_group

        def then(n: float, outcome: CallOutcome) -> None:
            if outcome.status == 200:
                self._on_answer(n, instance_request, request, outcome.body)
                return
            if outcome.status in (NO_ANSWER, 429) and tries > 1 and self.election.has_authority(n):
                self._send(n, instance_request, request, tries - 1)
                return
            self.state.pending_requests.pop(request, None)
            self.state.backoff.refused(machine_group, n, self.state.boot_s / 2)
            if outcome.status != NO_ANSWER:
                self.fleet_store.ended(n, request, [])

        body = instance_request_body(
            request,
            machine_group.type,
            machine_group.zone,
            machine_group.spot,
            instance_request.machines,
        )
        self.out.calls.append(Call("cloud", "POST", INSTANCES_PATH, then, body, CALL_TIMEOUT_S))

    def _on_answer(
        self, now: float, instance_request: InstanceRequest, request: str, body: bytes
    ) -> None:
        """The cloud has carried out a booking, in full or in part."""
        state, machine_group = self.state, instance_request.machine_group
        known = state.pending_requests.pop(request, None)
        shard = known.shard if known is not None else state.neediest_shard()
        rented = decode(body, InstanceAnswer)
        names = rented.machines if rented else []
        if len(names) < instance_request.machines:
            state.backoff.refused(machine_group, now, state.boot_s / 2)
        else:
            state.backoff.granted(machine_group)
        self.out.log(
            "info", "rented", machine_group=str(tuple(machine_group)), count=len(names), shard=shard
        )
        self.fleet_store.ended(now, request, names)
        for name in names:
            if name not in state.machines and name not in state.gone:
                self.records.add(now, name, machine_group, shard, Occupancy.EMPTY)

    def release(self, now: float, machines: list[ManagedMachine]) -> None:
        """Return machines, with those whose return hasn't been confirmed."""
        if not self.election.has_authority(now):
            return
        for machine in machines:
            machine.releasing = True
        waiting = [
            machine
            for machine in self.state.machines.values()
            if machine.releasing and now - machine.release_sent > RELEASE_AGAIN_S
        ][:RELEASES_PER_CALL]
        if not waiting or not self.calls.take(now, 1.0):
            return
        for machine in waiting:
            machine.release_sent = now

        def then(n: float, outcome: CallOutcome) -> None:
            if outcome.status == 200:
                for machine in waiting:
                    self.records.mark_gone(n, machine)

        body = release_body([machine.entry.name for machine in waiting])
        self.out.calls.append(Call("cloud", "POST", RELEASE_PATH, then, body, CALL_TIMEOUT_S))
