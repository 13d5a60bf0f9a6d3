"""The fleet as the state service holds it: one record that names every machine and booking.

A booking is stored before it is sent, the machines that it brought after its answer, and a machine
is marked as up before anything starts on it. So a successor can repeat bookings that may have been
carried out, and knows every machine that may hold tasks. One record for all keeps the cost at a
few writes a second while hundreds of machines boot.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from copperpass import wire
from copperpass.core.authority import TOKEN
from copperpass.core.ledger import APPLIED, PLAIN, Ledger, Op

FLEET = "c/fleet"
Place = tuple[str, str, bool]


class Roster:
    """The writer of the fleet's record; one a leader."""

    def __init__(
        self, ledger: Ledger, token_version: Callable[[], int], room: float, gap_s: float,
        deadline_s: float,
    ) -> None:
        self.ledger, self.token_version = ledger, token_version
        self.room, self.gap_s, self.deadline_s = room, gap_s, deadline_s
        self.version = 0
        self.booked: dict[str, tuple[Place, int]] = {}
        self.places: dict[str, Place] = {}
        self.up: set[str] = set()
        # Machines whose mark as up is in the state service.
        self.stored: set[str] = set()
        self.on_stored: Callable[[float, set[str]], None] = lambda now, names: None
        self.waits: list[Callable[[float, bool], None]] = []
        self.dirty = False
        self.writing = False
        self.next_write = 0.0
        self.size = 0

    def load(self, record: wire.FleetRecord | None, version: int) -> None:
        """Take over what an earlier authority has stored."""
        self.version = version
        self.booked.clear()
        self.places.clear()
        self.up.clear()
        self.stored.clear()
        if record is None:
            return
        for at in record.places:
            place = (at.type, at.zone, at.spot)
            self.places.update(dict.fromkeys([*at.fresh, *at.up], place))
            self.up.update(at.up)
            self.stored.update(at.up)
            self.booked.update({name: (place, count) for name, count in at.booked.items()})

    def saw(self, version: int) -> None:
        """The watch has seen the record at a version."""
        self.version = max(self.version, version)

    def full(self) -> bool:
        """Whether the record has no room for more machines."""
        return self.size > 0.85 * self.room

    def book(
        self, now: float, request: str, place: Place, count: int,
        then: Callable[[float, bool], None],
    ) -> None:
        """Store a booking; `then` is told whether it may be sent."""
        self.booked[request] = (place, count)
        self.waits.append(then)
        self._touch(now)

    def ended(self, now: float, request: str, names: list[str]) -> None:
        """A booking was answered: it brought these machines."""
        if request in self.booked:
            place, _ = self.booked.pop(request)
            for name in names:
                self.places.setdefault(name, place)
        self._touch(now)

    def rented(self, now: float, name: str, place: Place) -> None:
        """A machine is known that no booking has named."""
        if name not in self.places:
            self.places[name] = place
            self._touch(now)

    def came_up(self, now: float, name: str, place: Place) -> None:
        """A machine reports; `on_stored` names it once its mark is stored."""
        if name not in self.up:
            self.places[name] = place
            self.up.add(name)
            self._touch(now)

    def gone(self, now: float, name: str) -> None:
        """A machine is gone for certain."""
        if self.places.pop(name, None) is not None:
            self.up.discard(name)
            self.stored.discard(name)
            self._touch(now)

    def _touch(self, now: float) -> None:
        self.dirty = True
        self.tick(now)

    def tick(self, now: float) -> None:
        """Write what has changed, one write at a time."""
        if self.dirty and not self.writing and now >= self.next_write:
            self._write(now)

    def _record(self) -> wire.FleetRecord:
        held: dict[Place, wire.PlaceRecord] = {}
        for place in {*self.places.values(), *(p for p, _ in self.booked.values())}:
            held[place] = wire.PlaceRecord(*place)
        for name in sorted(self.places):
            record = held[self.places[name]]
            (record.up if name in self.up else record.fresh).append(name)
        for request, (place, count) in self.booked.items():
            held[place].booked[request] = count
        return wire.FleetRecord([held[place] for place in sorted(held)])

    def _write(self, now: float) -> None:
        self.writing, self.dirty = True, False
        self.next_write = now + self.gap_s
        waits, self.waits = self.waits, []
        marked = set(self.up)
        value = msgspec.to_builtins(self._record())
        op = Op(
            {TOKEN: self.token_version(), FLEET: self.version}, [wire.put(FLEET, value)],
            lambda n, how, revision: self._written(n, how == APPLIED, revision, waits, marked),
            now + self.deadline_s, PLAIN,
        )
        self.ledger.submit(now, op)
        self.size = op.size

    def _written(
        self, now: float, applied: bool, revision: int,
        waits: list[Callable[[float, bool], None]], marked: set[str],
    ) -> None:
        self.writing = False
        if applied:
            self.version = max(self.version, revision)
            new = (marked & self.up) - self.stored
            self.stored |= new
            if new:
                self.on_stored(now, new)
        else:
            # Not stored, or not known to be: write again at the version that the watch brings.
            self.dirty = True
            self.next_write = now + 4 * self.gap_s
        for then in waits:
            then(now, applied)
