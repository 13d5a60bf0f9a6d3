"""Reads the cloud's list of machines to find unrecorded machines, addresses and failures."""

from __future__ import annotations

from dataclasses import replace

from copperpass.core.autoscaling.instance_requests import CALL_TIMEOUT_S, InstanceRequests
from copperpass.core.autoscaling.machine_groups import MachineGroup
from copperpass.core.autoscaling.machine_records import MachineRecords
from copperpass.core.autoscaling.state import ClusterManagerContext, ClusterState
from copperpass.core.ports import Call, CallOutcome, ExternalService
from copperpass.protocol.cloud import ListedMachine, MachineList, machines_path
from copperpass.protocol.frames.messages import NO_SHARD, Occupancy
from copperpass.protocol.json_codec import decode


class CloudListing:
    """Lists the cloud's machines page by page.

    One listing runs at a time. Its first page takes a token from the budget of calls to the cloud.
    """

    def __init__(
        self,
        context: ClusterManagerContext,
        state: ClusterState,
        records: MachineRecords,
        instance_requests: InstanceRequests,
    ) -> None:
        self.state, self.records, self.instance_requests = state, records, instance_requests
        self.outbox, self.cloud = context.outbox, context.cluster.cloud
        self.next_listing_at = state.elected_at
        self.listing_in_progress = False

    def tick(self, now: float) -> None:
        """Start a listing when one is due and the call budget allows it."""
        if now < self.next_listing_at or self.listing_in_progress:
            return
        if not self.instance_requests.call_budget.take(now, 1.0):
            return
        self.listing_in_progress = True
        self.next_listing_at = now + max(self.cloud.list_lag_s / 2, 4 / self.cloud.rps)
        self._read_page("")

    def _read_page(self, after: str) -> None:
        """Request the page of machines whose names sort after `after`; empty for the first page."""

        def on_done(done_at: float, outcome: CallOutcome) -> None:
            page = decode(outcome.body, MachineList) if outcome.status == 200 else None
            if page is None or not self.state.ready:
                self.listing_in_progress = False
                return
            for item in page.machines:
                self._on_listed(done_at, item)
            if page.more and page.machines:
                self._read_page(page.machines[-1].id)
                return
            self.listing_in_progress = False

        call = Call(
            ExternalService.CLOUD, "GET", machines_path(after), on_done, b"", CALL_TIMEOUT_S
        )
        self.outbox.calls.append(call)

    def _on_listed(self, now: float, item: ListedMachine) -> None:
        """Add a machine that is not recorded; record its address; release it if it has failed."""
        state, records = self.state, self.records
        if item.id in state.deleted_at or item.type not in state.types:
            return
        machine = state.machines.get(item.id)
        if machine is None:
            machine_group = MachineGroup(item.type, item.zone, item.spot)
            machine = records.add(now, item.id, machine_group, NO_SHARD, Occupancy.EMPTY)
            machine.created_at = now - item.age_s
            state.inventory.record_machine(now, item.id, machine_group)
        if item.address and machine.route.contact is None:
            records.record_contact(machine, item.address, 0)
        if item.state == "failed" and not machine.route.failed:
            # The machine has stopped on its own, so no task runs on it any more.
            records.set_route(
                machine, replace(machine.route, failed=True, occupancy=Occupancy.EMPTY)
            )
            self.instance_requests.release(now, [machine])
