"""How many machines of which type, zone and kind to rent, and which to return."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from copperpass import wire
from copperpass.core.dispatch import Aims, Scarce, price_of, remaining
from copperpass.core.fleet import Machine, allows, type_fits
from copperpass.core.jobs import Job

Place = tuple[str, str, bool]


@dataclass(slots=True)
class Refusals:
    """Places where the cloud had nothing, and when to ask again."""

    until: dict[Place, float] = field(default_factory=dict)
    wait: dict[Place, float] = field(default_factory=dict)

    def refused(self, place: Place, now: float, base: float) -> None:
        """Back off, longer each time."""
        wait = min(self.wait.get(place, base / 2) * 2, base * 4)
        self.wait[place] = wait
        self.until[place] = now + wait

    def granted(self, place: Place) -> None:
        """Something was there: start over."""
        self.wait.pop(place, None)

    def open(self, place: Place, now: float) -> bool:
        """Whether to ask there."""
        return now >= self.until.get(place, 0.0)


class Peak:
    """The highest value over a sliding window."""

    def __init__(self, window: float) -> None:
        self.window = window
        self.samples: deque[tuple[float, float]] = deque()

    def add(self, now: float, value: float) -> None:
        """Take a sample."""
        while self.samples and self.samples[-1][1] <= value:
            self.samples.pop()
        self.samples.append((now, value))
        while self.samples[0][0] < now - self.window:
            self.samples.popleft()

    def value(self) -> float:
        """The highest sample in the window."""
        return self.samples[0][1] if self.samples else 0.0


@dataclass(frozen=True, slots=True)
class Warm:
    """CPUs to keep up for demand that can't wait for a boot.

    Room on cheap machines is kept for longer than room on dear ones.
    """

    any: float
    cheap: float


@dataclass(slots=True)
class Room:
    """What a machine offers to tasks that wait, now or within their horizon."""

    type: wire.MachineType
    zone: str
    spot: bool
    cpus: float
    gpus: float
    memory: float
    frees: list[tuple[float, float, float, float]]

    def take(self, spec: wire.Spec, count: int, horizon: float) -> int:
        """Give room to up to `count` tasks that may start within the horizon."""
        if count <= 0 or not allows(spec, self.type, self.zone, self.spot):
            return 0
        cpus, gpus, memory = self.cpus, self.gpus, self.memory
        for at, c, g, m in self.frees:
            if at <= horizon:
                cpus, gpus, memory = cpus + c, gpus + g, memory + m
        slots = count
        for need, have in ((spec.cpus, cpus), (spec.gpus, gpus), (spec.memory_gb, memory)):
            if need > 0:
                slots = min(slots, int((have + 1e-6) / need))
        if slots <= 0:
            return 0
        self.cpus -= slots * spec.cpus
        self.gpus -= slots * spec.gpus
        self.memory -= slots * spec.memory_gb
        return slots


def choose_place(
    spec: wire.Spec | None,
    count: int,
    types: dict[str, wire.MachineType],
    zones: dict[str, int],
    refusals: Refusals,
    now: float,
    spot_only: bool,
    closed: set[str],
) -> Place | None:
    """The cheapest place for tasks of a shape, spread over zones."""
    best: Place | None = None
    best_score: tuple[float, int, str] | None = None
    for machine_type in types.values():
        if machine_type.name in closed:
            continue
        slots = machine_type.cpus
        if spec is not None:
            if not type_fits(spec, machine_type):
                continue
            per = [
                have / need
                for need, have in (
                    (spec.cpus, machine_type.cpus),
                    (spec.gpus, machine_type.gpus),
                    (spec.memory_gb, machine_type.memory_gb),
                )
                if need > 0
            ]
            slots = min(count, int(min(per) + 1e-6)) if per else count
        for spot in (True, False):
            if (spot and machine_type.spot_price is None) or (spot_only and not spot):
                continue
            price = price_of(machine_type, spot)
            for zone in machine_type.zones:
                place = (machine_type.name, zone, spot)
                if spec is not None and not allows(spec, machine_type, zone, spot):
                    continue
                if not refusals.open(place, now):
                    continue
                score = (price / max(slots, 1e-6), zones.get(zone, 0), zone)
                if best_score is None or score < best_score:
                    best, best_score = place, score
    return best


def rooms_of(machines: dict[str, Machine], now: float, silence: float) -> list[Room]:
    """What the machines that serve, or will soon, have to offer."""
    rooms = []
    for m in machines.values():
        if m.releasing or m.failed or m.fenced or m.rumoured or m.notice_until is not None:
            continue
        if m.up and (now - m.last_report > silence or m.deaf_since is not None):
            continue
        cpus, gpus, memory = m.room()
        frees = [
            (remaining(p, now), p.cpus, p.gpus, p.memory_gb) for p in m.tasks.values() if p.active
        ]
        rooms.append(Room(m.type, m.zone, m.spot, cpus, gpus, memory, frees))
    return rooms


def plan(
    waiting: list[tuple[Job, int]],
    machines: dict[str, Machine],
    types: dict[str, wire.MachineType],
    aims: Aims,
    refusals: Refusals,
    warm: Warm,
    now: float,
    silence: float,
    patient_boots: float,
    scarce: Scarce,
) -> dict[Place, int]:
    """Machines to rent for the tasks that wait, and for the room that must stay warm."""
    rooms = rooms_of(machines, now, silence)
    zones: dict[str, int] = {}
    for room in rooms:
        zones[room.zone] = zones.get(room.zone, 0) + 1
    wanted: dict[Place, int] = {}

    def rent(place: Place) -> Room:
        machine_type = types[place[0]]
        wanted[place] = wanted.get(place, 0) + 1
        zones[place[1]] = zones.get(place[1], 0) + 1
        room = Room(
            machine_type, place[1], place[2],
            machine_type.cpus, machine_type.gpus, machine_type.memory_gb, [],
        )
        rooms.append(room)
        return room

    for job, count in waiting:
        spec = job.spec
        horizon = max(0.0, aims.due(job, now) - now)
        left = count
        closed = scarce.closed_to(spec)
        for room in rooms:
            if room.type.name in closed:
                continue
            left -= room.take(spec, left, horizon)
            if left <= 0:
                break
        while left > 0 and sum(wanted.values()) < 50:
            # Work that can wait for longer than a boot asks only for the cheap kind at first.
            patient = horizon > patient_boots * max(t.boot_s for t in types.values())
            spot_only = patient and spec.spot
            place = choose_place(spec, left, types, zones, refusals, now, spot_only, closed)
            if place is None:
                break
            left -= rent(place).take(spec, left, horizon)
    total = sum(room.type.cpus for room in rooms)
    dear = {name for names in scarce.seen for name in names}
    for cpus, spot_only in ((warm.any, False), (warm.cheap, True)):
        while total < cpus and sum(wanted.values()) < 50:
            place = choose_place(None, 1, types, zones, refusals, now, spot_only, dear)
            if place is None:
                break
            total += rent(place).type.cpus
    return wanted


def to_return(
    machines: dict[str, Machine],
    warm: Warm,
    now: float,
    idle_limit: float,
) -> list[Machine]:
    """Idle machines that cost more than their expected next use."""
    live = [m for m in machines.values() if not m.releasing and not m.failed]
    total = sum(m.type.cpus for m in live)
    idle = [
        m
        for m in live
        if m.up and m.recorded and not m.tasks and not m.starts and not m.do_in_flight
        and now - max(m.idle_since, m.up_at) >= (0.0 if m.fenced else idle_limit)
    ]

    def dearness(m: Machine) -> float:
        return -price_of(m.type, m.spot) / max(m.type.cpus, 1e-6)

    chosen = []
    for m in sorted(idle, key=dearness):
        if m.notice_until is not None:
            # It goes by itself, and is not charged for longer than it is there.
            continue
        if m.fenced or total - m.type.cpus >= (warm.cheap if m.spot else warm.any):
            chosen.append(m)
            total -= m.type.cpus
    return chosen
