"""Finds room for what owners have none for: idle machines of others first, then new ones."""

from __future__ import annotations

from dataclasses import dataclass

from copperpass.core.autoscaling import provisioning
from copperpass.core.autoscaling.demand import DemandTracker
from copperpass.core.autoscaling.machine_records import MachineRecords
from copperpass.core.autoscaling.rebalancing import Rebalancer
from copperpass.core.autoscaling.scale_out_plan import ScaleOutPlan
from copperpass.core.autoscaling.state import (
    CapacityRequest,
    ManagedMachine,
    ManagerContext,
    ManagerState,
    Shard,
)
from copperpass.core.jobs.job_table import Job
from copperpass.core.scheduling.prices import hourly_price
from copperpass.protocol.frames.messages import NO_SHARD
from copperpass.protocol.users import JobSpec

# Requests older than this many reports' time are no longer true.
REQUEST_REPORTS = 2


@dataclass(slots=True)
class ShardOffer:
    """What there is for one shard while its requests are served; each request takes its part."""

    shard: Shard
    serving: list[ManagedMachine]
    # Machines on their way to the shard.
    rooms: list[provisioning.FreeCapacity]
    # Idle machines of other shards, the cheapest first.
    spare: list[ManagedMachine]
    cover: provisioning.CoverageRatio
    # About what the shard's own machines have left; None until a gang asks.
    own_capacities: list[provisioning.FreeCapacity] | None = None

    def own(self) -> list[provisioning.FreeCapacity]:
        """The room that is left on the shard's own machines."""
        if self.own_capacities is None:
            self.own_capacities = [
                provisioning.remaining_capacity(machine.type, machine.place, machine.used_cpus)
                for machine in self.serving
                if machine.entry.shard == self.shard.number
            ]
        return self.own_capacities


@dataclass(slots=True)
class Search:
    """How far the search of room for one request has come."""

    job: Job
    # The job's shape, with the zone that it is tied to.
    spec: JobSpec
    # Tasks that have found no room so far.
    left: int
    horizon: float
    # The types that are kept for others.
    closed: set[str]
    # The zone that all of a gang's tasks must be in.
    zone: str | None
    # Whether it waits for cheap room.
    patient: bool


class PlacementPlanner:
    """Serves the requests of one shard after the other."""

    def __init__(
        self,
        context: ManagerContext,
        state: ManagerState,
        records: MachineRecords,
        tracker: DemandTracker,
        rebalancer: Rebalancer,
    ) -> None:
        self.state, self.records, self.rebalancer = state, records, rebalancer
        self.cluster, self.tuning = context.cluster, context.tuning
        self.reserved_types, self.fleet_store = tracker.reserved_types, state.fleet_store

    def serve(
        self, now: float, shard: Shard, serving: list[ManagedMachine], plan: ScaleOutPlan | None
    ) -> None:
        """Serve a shard's requests, each with what those before it have left.

        Without a plan nothing is rented, and nothing taken that others need: this only moves what
        idles.
        """
        if now - shard.wants_at > REQUEST_REPORTS * self.state.report_s:
            return
        offer = self._offer(shard, serving)
        for request in shard.wants:
            over = plan is not None and plan.full and not offer.spare
            if over and not request.job.guaranteed:
                # Nothing can be rented or moved in this plan any more: the next one goes on.
                continue
            search = self._begin(now, offer, request)
            self._move_spare(now, offer, search)
            if plan is not None:
                self._rent(now, offer, search, plan)
                self._take_kept(now, offer, search)
                self._reclaim_guarantee(now, offer, search)

    def _offer(self, shard: Shard, serving: list[ManagedMachine]) -> ShardOffer:
        """Gather what is on its way to a shard and what others could lend."""
        rooms = [
            provisioning.empty_machine_capacity(self.state.types[place.type], place)
            for place, count, number in self.state.pending_requests.values()
            if number == shard.number
            for _ in range(count)
        ]
        rooms += [
            provisioning.empty_machine_capacity(machine.type, machine.place)
            for machine in serving
            if machine.back_for == shard.number and machine.entry.back
        ]
        spare = [
            machine
            for machine in serving
            if machine.spare
            and machine.entry.shard != shard.number
            and not machine.entry.back
            and machine.entry.shard != NO_SHARD
        ]
        spare.sort(key=lambda m: hourly_price(m.type, m.entry.spot) / m.type.cpus)
        return ShardOffer(shard, serving, rooms, spare, self.rebalancer.cover(serving))

    def _begin(self, now: float, offer: ShardOffer, request: CapacityRequest) -> Search:
        """Start a request's search with the room that is on its way."""
        job, count, horizon = request
        tied_to = offer.shard.zone_affinities.get(job.spec.id)
        spec = provisioning.with_zone_affinity(job.spec, [tied_to] if tied_to else [])
        closed = self.reserved_types.reserved_from(spec)
        zone: str | None = None
        rooms = offer.rooms
        if spec.gang and spec.one_zone:
            # All of it in one zone: what the shard has there, then what is moved or rented. The
            # owner asks for the whole: only the leader can complete what one zone has.
            rooms = rooms + offer.own()
            zone = spec.zone or self._gang_zone(now, spec, count, rooms, offer.spare)
            rooms = [room for room in rooms if room.zone == zone]
        left = provisioning.pack_tasks(rooms, spec, count, horizon, closed)
        # Work that can wait for longer than a boot asks only for the cheap kind at first.
        # Not for the rest of a gang, for which other machines are kept idle meanwhile.
        long = horizon > self.tuning.patient_boots * self.state.boot_s
        patient = long and spec.spot and zone is None
        return Search(job, spec, left, horizon, closed, zone, patient)

    def _gang_zone(
        self,
        now: float,
        spec: JobSpec,
        count: int,
        rooms: list[provisioning.FreeCapacity],
        spare: list[ManagedMachine],
    ) -> str | None:
        """The zone where most of a gang's tasks find room already and the rest can be rented."""
        state = self.state
        slots: dict[str, int] = {}
        offers = rooms + [
            provisioning.empty_machine_capacity(machine.type, machine.place) for machine in spare
        ]
        for room in offers:
            slots[room.zone] = slots.get(room.zone, 0) + room.slots(spec, count, state.boot_s)
        for zone in sorted(slots, key=lambda z: (-slots[z], z)):
            if slots[zone] > 0 and (
                slots[zone] >= count
                or provisioning.choose_machine_group(
                    spec, 1, state.types, {}, state.backoff, now, False, set(), zone
                )
            ):
                return zone
        return None

    def _move_spare(self, now: float, offer: ShardOffer, search: Search) -> None:
        """Ask for idle machines of shards that stay covered as far as this one."""
        number = offer.shard.number
        for machine in list(offer.spare):
            if search.left <= 0:
                break
            lender = machine.entry.shard
            if search.zone is not None and machine.entry.zone != search.zone:
                continue
            if not self.rebalancer.may_leave(machine) or machine.type.name in search.closed:
                continue
            if search.patient and self.state.on_demand_excess and not machine.entry.spot:
                continue
            if not offer.cover.may_donate(lender, number, machine.type.cpus):
                continue
            room = provisioning.empty_machine_capacity(machine.type, machine.place)
            taken = room.take(search.spec, search.left, search.horizon)
            if taken > 0:
                search.left -= taken
                offer.cover.move(lender, number, machine.type.cpus)
                offer.rooms.append(room)
                offer.spare.remove(machine)
                self.rebalancer.let_go(now, machine, number)

    def _rent(self, now: float, offer: ShardOffer, search: Search, plan: ScaleOutPlan) -> None:
        """Plan new machines for what is left."""
        state, spec = self.state, search.spec
        while search.left > 0 and not plan.full and not self.fleet_store.full():
            place = provisioning.choose_machine_group(
                spec,
                search.left,
                state.types,
                plan.zones,
                state.backoff,
                now,
                search.patient,
                search.closed,
                search.zone,
            )
            if place is None:
                break
            if spec.gang and spec.one_zone:
                search.zone = place.zone
            room = provisioning.empty_machine_capacity(state.types[place.type], place)
            taken = room.take(spec, search.left, search.horizon)
            if taken <= 0:
                break
            search.left -= taken
            offer.rooms.append(room)
            plan.add(place, offer.shard.number)

    def _take_kept(self, now: float, offer: ShardOffer, search: Search) -> None:
        """Nothing can be rented: what others keep for later serves who needs it now."""
        if search.left <= 0 or search.horizon > self.state.boot_s:
            return
        for machine in offer.spare:
            if search.left <= 0:
                break
            if machine.type.name in search.closed or search.zone not in (None, machine.entry.zone):
                continue
            if not self.rebalancer.may_leave(machine):
                continue
            room = provisioning.empty_machine_capacity(machine.type, machine.place)
            taken = room.take(search.spec, search.left, search.horizon)
            if taken > 0:
                search.left -= taken
                self.rebalancer.let_go(now, machine, offer.shard.number)
        offer.spare = [machine for machine in offer.spare if not machine.entry.back]

    def _reclaim_guarantee(self, now: float, offer: ShardOffer, search: Search) -> None:
        """Give a shard its guarantee out of what another has beyond its own."""
        job, spec, left = search.job, search.job.spec, search.left
        if left <= 0 or not job.guaranteed or search.horizon > self.state.boot_s:
            return
        for other in self.state.shards.values():
            theirs = [m for m in offer.serving if m.entry.shard == other.number]
            own = sum(team.cpus for team in self.cluster.teams if team.name in other.teams)
            beyond = sum(machine.used_cpus for machine in theirs) - own
            for machine in sorted(theirs, key=lambda m: m.used_cpus):
                used = machine.used_cpus
                if other is offer.shard or left <= 0 or beyond < used or machine.entry.back:
                    break
                room = provisioning.empty_machine_capacity(machine.type, machine.place)
                taken = room.take(spec, left, 0.0)
                if taken > 0 and machine.type.name not in self.reserved_types.reserved_from(spec):
                    left -= taken
                    beyond -= used
                    self.records.ask_back(now, machine, offer.shard.number, vacate=True)
