"""The fleet as the state service holds it: every machine, and every booking without an answer.

A booking is stored before it is sent, the machines that it brought after its answer, and a machine
is marked as up before anything starts on it. So a successor can repeat bookings that may have been
carried out, and knows every machine that may hold tasks.

There are two forms. Older versions know one record for all (`c/fleet`), which can't grow with the
fleet where values are small. The newer form is pages (`c/fleet/{n}`), which older versions ignore.
`c/fleet` counts as long as it exists; pages count only when it doesn't. A leader moves from the
first to the second form once every member is proven to read pages: it writes all pages, and then
one transaction removes `c/fleet`, which is the moment in which the truth passes. Every write is
guarded by the token counter, so neither form takes a late write of an earlier leader.

What changes together is on one page: machines booked together boot together. So a new booking goes
to a page that is to be written anyway, then to one that has its place already. Removals and answers
wait for a while for others to share the write with them: a successor that finds a machine too many,
or a booking already answered, loses a little time and no truth.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from copperpass.core.autoscaling.machine_groups import MachineGroup
from copperpass.core.kvstore.keys import FENCING_TOKEN_KEY, INVENTORY_KEY, INVENTORY_PAGES_PREFIX
from copperpass.core.kvstore.operations import Operation, Priority, TransactionOutcome
from copperpass.core.kvstore.token_bucket import TokenBucket
from copperpass.core.kvstore.transactions import TransactionQueue
from copperpass.protocol.json_codec import decode, encode
from copperpass.protocol.kvstore import DeleteKey, PutKey, Write
from copperpass.protocol.records import InventoryRecord, MachineGroupRecord
from copperpass.protocol.users import MAX_BODY_BYTES

Wait = Callable[[float, bool], None]
# The part of the smallest allowed value that a page fills: the service may count a value's bytes
# in another notation than ours.
PAGE_PART = 0.8
# How many writes' gaps a removal waits for others to share its write.
LAZY_GAPS = 8
# The least bytes that a page is thought to have room for, however often values are refused.
LEAST_PAGE_BYTES = 512
# What a page holds of a place, machine or booking besides its words, and of a booking's count.
PLACE_BYTES, ITEM_BYTES, COUNT_BYTES = 72, 4, 4
# The shortest name that is expected of a machine that a booking may bring.
NAME_BYTES = 8


def page_number(key: str) -> int | None:
    """The number of a page of the fleet, or None for any other key."""
    number = key[len(INVENTORY_PAGES_PREFIX) :]
    return int(number) if key.startswith(INVENTORY_PAGES_PREFIX) and number.isdecimal() else None


@dataclass(slots=True)
class CachedInventory:
    """What the view holds of the fleet's records; kept up by the watch."""

    record: InventoryRecord | None = None
    # 0: there is no such record.
    version: int = 0
    pages: dict[int, tuple[InventoryRecord | None, int]] = field(default_factory=dict)

    def on_watch_event(self, key: str, raw: bytes | None, version: int) -> bool:
        """Take in a change; returns whether it concerns the fleet."""
        number = page_number(key)
        if key != INVENTORY_KEY and number is None:
            return False
        record = decode(raw, InventoryRecord) if raw is not None else None
        if number is None:
            self.record, self.version = record, version if raw is not None else 0
        elif raw is None:
            self.pages.pop(number, None)
        else:
            self.pages[number] = (record, version)
        return True


class InventoryPage:
    """One page of the fleet: machines and bookings by name, each with its place."""

    def __init__(self, number: int, version: int) -> None:
        self.number, self.version = number, version
        self.items: dict[str, MachineGroup] = {}
        # What has moved to other pages, and stays here until it is stored there.
        self.leaving: dict[str, MachineGroup] = {}
        self.group_counts: dict[MachineGroup, int] = {}
        self.size = len('{"places":[]}')
        # When it must be written at the latest; None: nothing has changed.
        self.due: float | None = None
        self.waits: list[Wait] = []

    @property
    def key(self) -> str:
        """Where it is stored."""
        return f"{INVENTORY_PAGES_PREFIX}{self.number}"

    def cost(self, place: MachineGroup, item: int) -> int:
        """How much larger an item of that many bytes makes the page."""
        return item + (0 if place in self.group_counts else _place_bytes(place))

    def add(self, name: str, place: MachineGroup, item: int) -> None:
        """Take an item in."""
        self.size += self.cost(place, item)
        self.items[name] = place
        self.group_counts[place] = self.group_counts.get(place, 0) + 1

    def drop(self, name: str, item: int) -> None:
        """Let an item go."""
        place = self.items.pop(name)
        self.size -= item
        self.group_counts[place] -= 1
        if not self.group_counts[place]:
            del self.group_counts[place]
            self.size -= _place_bytes(place)

    def touch(self, due: float) -> None:
        """It has changed and must be written by then."""
        self.due = due if self.due is None else min(self.due, due)


def _place_bytes(place: MachineGroup) -> int:
    return PLACE_BYTES + len(place[0].encode()) + len(place[1].encode())


class MachineInventory:
    """The writer of the fleet's records; one a leader."""

    def __init__(
        self,
        transactions: TransactionQueue,
        token_version: Callable[[], int],
        room: float,
        gap_s: float,
        deadline_s: float,
        least_room: float | None = None,
        txn_ops: int = 4,
        all_upgraded: Callable[[], bool] = lambda: False,
        limits_drop: bool = False,
    ) -> None:
        self.transactions, self.token_version = transactions, token_version
        # The room of the one record, and that of a page.
        self.room = room
        self.page_room = PAGE_PART * (room if least_room is None else least_room)
        self.txn_ops = txn_ops
        self.gap_s, self.deadline_s = gap_s, deadline_s
        # A page a gap in the long run. A fleet at rest saves up for one transaction, so that a
        # booking or a mark needn't wait when it comes.
        self.budget = TokenBucket(1 / gap_s, float(txn_ops))
        self.all_upgraded, self.limits_drop = all_upgraded, limits_drop
        # The version of `c/fleet`; 0: there is none.
        self.version = 0
        self.paged = self.moving = self.begun = False
        self.pages: dict[int, InventoryPage] = {}
        self.page_of: dict[str, InventoryPage] = {}
        # Pages of an interrupted move, with their versions.
        self.leftover_pages: dict[int, int] = {}
        self.removing = False
        # Under this version of the token a creation of `c/fleet` has had no answer.
        self.unsure_at = -1
        self.pending_requests: dict[str, tuple[MachineGroup, int]] = {}
        # Bookings that were answered, with the names that are not stored yet.
        self.answered: dict[str, set[str]] = {}
        self.machines: dict[str, MachineGroup] = {}
        self.up: set[str] = set()
        # Machines whose mark as up is in the state service.
        self.stored_up: set[str] = set()
        self.on_marks_stored: Callable[[float, set[str]], None] = lambda now, names: None
        self.waits: list[Wait] = []
        # Marks that a move has written, which count once it is over.
        self.moved_marks: set[str] = set()
        self.dirty = False
        self.writing = False
        self.next_write = 0.0
        self.size = 0

    # -- what is stored ----------------------------------------------------------------

    def load(
        self,
        record: InventoryRecord | None,
        version: int,
        pages: dict[int, tuple[InventoryRecord | None, int]] | None = None,
    ) -> None:
        """Take over what an earlier authority has stored."""
        self.version = version
        self.pending_requests.clear()
        self.machines.clear()
        self.up.clear()
        self.stored_up.clear()
        self.pages.clear()
        self.page_of.clear()
        self.leftover_pages.clear()
        self.paged = version == 0 and bool(pages)
        if not self.paged:
            self.leftover_pages.update({n: held[1] for n, held in (pages or {}).items()})
            if record is not None:
                self._take(record)
            return
        for number, (held, at) in sorted((pages or {}).items()):
            page = self.pages[number] = InventoryPage(number, at)
            for name, place in self._take(held).items() if held is not None else ():
                if name in self.page_of:
                    # It was being moved between pages: either may be the newer, so the copy here
                    # goes only once the other is written with what both say.
                    page.leaving[name] = place
                    self.page_of[name].touch(0.0)
                else:
                    self._put(page, name, place)
        for page in list(self.pages.values()):
            self._relieve(page)

    def _take(self, record: InventoryRecord) -> dict[str, MachineGroup]:
        """Take a record's machines and bookings over; returns their places."""
        found: dict[str, MachineGroup] = {}
        for at in record.groups:
            place = MachineGroup(at.type, at.zone, at.spot)
            machines = dict.fromkeys([*at.starting, *at.up], place)
            self.machines.update(machines)
            self.up.update(at.up)
            self.stored_up.update(at.up)
            self.pending_requests.update(
                {name: (place, count) for name, count in at.pending_requests.items()}
            )
            found.update(machines)
            found.update(dict.fromkeys(at.pending_requests, place))
        return found

    def _relieve(self, page: InventoryPage) -> None:
        """Break a page up that was stored when values could be larger.

        What moves stays on it until it is stored elsewhere, and only then is it written smaller.
        """
        for name, place in list(page.items.items()):
            if page.size <= self.page_room or len(page.items) == 1:
                return
            page.drop(name, self._item(name))
            page.leaving[name] = place
            target = self._choose(place, self._item(name), page)
            self._put(target, name, place)
            target.touch(0.0)

    def begin(self, now: float) -> None:
        """The view has caught up with the win: from here on this leader writes."""
        self.begun = True
        self._consider(now)

    def on_record_event(self, version: int) -> None:
        """The watch has seen the one record at a version; 0: it is gone."""
        if version:
            self.version = max(self.version, version)
        elif self.moving and self.removing:
            # Only this leader's own removal can be it: any other writer's token is refused.
            self.version = 0

    def on_page_event(self, number: int, version: int, present: bool) -> None:
        """The watch has seen a page change at a version, or go."""
        page = self.pages.get(number)
        if page is not None:
            if version > page.version:
                page.version = version if present else 0
        elif not present:
            self.leftover_pages.pop(number, None)
        elif number in self.leftover_pages:
            self.leftover_pages[number] = max(self.leftover_pages[number], version)

    def blocked(self) -> bool:
        """Whether only a new term can move the record.

        A creation of `c/fleet` without an answer may be applied once the record is gone again, and
        would bring back an old truth. A new version of the token counter refuses it.
        """
        wanted = self.begun and not self.paged and not self.moving and self.all_upgraded()
        return wanted and not self.writing and self.unsure_at == self.token_version()

    # -- what changes --------------------------------------------------------------------

    def full(self) -> bool:
        """Whether the one record has no room for more machines; there are always more pages."""
        return not self.paged and not self.moving and self.size > 0.85 * self.room

    def record_request(
        self, now: float, request: str, place: MachineGroup, count: int, on_done: Wait
    ) -> None:
        """Store a booking; `on_done` is told whether it may be sent."""
        self.pending_requests[request] = (place, count)
        page = self._file(request, place)
        (self.waits if page is None else page.waits).append(on_done)
        self._touch(now, page)

    def record_answer(self, now: float, request: str, names: list[str]) -> None:
        """A booking was answered: it brought these machines."""
        if request not in self.pending_requests:
            self._touch(now, None)
            return
        place, _ = self.pending_requests[request]
        page = self.page_of.get(request)
        if page is None:
            del self.pending_requests[request]
            self.machines.update({n: place for n in names if n not in self.machines})
            self._touch(now, None)
            return
        # The names take the room that the booking has kept; those that fit go to its page.
        new = [n for n in names if n not in self.machines]
        page.drop(request, self._item(request))
        del self.page_of[request]
        elsewhere: set[str] = set()
        for name in new:
            self.machines[name] = place
            target = page
            if page.size + page.cost(place, self._item(name)) > self.page_room:
                target = self._choose(place, self._item(name), page)
                elsewhere.add(name)
            self._put(target, name, place)
            target.touch(now + LAZY_GAPS * self.gap_s)
        if elsewhere:
            # Until their pages are stored only the booking can name them to a successor.
            page.leaving[request] = place
            self.answered[request] = elsewhere
        else:
            del self.pending_requests[request]
        self._touch(now, page, lazy=True)

    def record_machine(self, now: float, name: str, place: MachineGroup) -> None:
        """A machine is known that no booking has named."""
        if name not in self.machines:
            self.machines[name] = place
            self._touch(now, self._file(name, place), lazy=True)

    def mark_up(self, now: float, name: str, place: MachineGroup) -> None:
        """A machine reports; `on_marks_stored` names it once its mark is stored."""
        if name not in self.up:
            self.machines.setdefault(name, place)
            self.up.add(name)
            self._touch(now, self.page_of.get(name) or self._file(name, place))

    def remove(self, now: float, name: str) -> None:
        """A machine is gone for certain."""
        if self.machines.pop(name, None) is not None:
            self.up.discard(name)
            self.stored_up.discard(name)
            self.moved_marks.discard(name)
            page = self.page_of.pop(name, None)
            if page is not None:
                page.drop(name, self._item(name))
            for other in self.pages.values():
                if other.leaving.pop(name, None) is not None:
                    other.touch(now)
            self._touch(now, page, lazy=True)

    def _touch(self, now: float, page: InventoryPage | None, lazy: bool = False) -> None:
        if page is None:
            self.dirty = True
        else:
            page.touch(now + LAZY_GAPS * self.gap_s if lazy else now)
        self.tick(now)

    # -- pages -------------------------------------------------------------------------------

    def _item(self, name: str) -> int:
        """How many bytes a machine or a booking may take of a page."""
        held = self.pending_requests.get(name)
        own = len(name.encode()) + ITEM_BYTES
        if held is None:
            return own
        return max(own + COUNT_BYTES, held[1] * (NAME_BYTES + ITEM_BYTES))

    def _file(self, name: str, place: MachineGroup) -> InventoryPage | None:
        """Give a new machine or booking its page; None while one record holds all."""
        if not self.paged and not self.moving:
            return None
        page = self._choose(place, self._item(name))
        self._put(page, name, place)
        return page

    def _put(self, page: InventoryPage, name: str, place: MachineGroup) -> None:
        page.add(name, place, self._item(name))
        self.page_of[name] = page

    def _choose(
        self, place: MachineGroup, item: int, but: InventoryPage | None = None
    ) -> InventoryPage:
        """The page for a new item: first one that will be written anyway."""
        fitting = [
            p
            for p in self.pages.values()
            if p is not but and not p.leaving and p.size + p.cost(place, item) <= self.page_room
        ]
        if fitting:
            return max(fitting, key=lambda p: (p.due is not None, place in p.group_counts, p.size))
        number = next(n for n in range(len(self.pages) + 1) if n not in self.pages)
        page = self.pages[number] = InventoryPage(number, self.leftover_pages.pop(number, 0))
        return page

    # -- the move ------------------------------------------------------------------------------

    def _consider(self, now: float, refused: bool = False) -> None:
        """Go over to pages if every member reads them.

        A refusal of the one record for its size is proof as well: the limits of `state.next` come
        only after the upgrade, so no process of an older version runs any more.
        """
        if self.paged or self.moving or self.writing or not self.begun:
            return
        if not self.all_upgraded() and not (refused and self.limits_drop):
            return
        if self.unsure_at == self.token_version():
            return
        if self.version == 0:
            self.paged = True
        else:
            self.moving = True
        for name, place in sorted(self.machines.items(), key=lambda item: (item[1], item[0])):
            self._file(name, place)
        for request, (place, _) in self.pending_requests.items():
            self._file(request, place)
        # At least one page stands for the new form, even of a fleet without machines.
        first = next(iter(self.pages.values()), None) or self._choose(
            MachineGroup("", "", False), 0
        )
        first.waits, self.waits = [*first.waits, *self.waits], []
        self.dirty = False
        for page in self.pages.values():
            page.touch(now)

    def _moved(self, now: float) -> None:
        """`c/fleet` is gone: the pages are the truth, and what waited on them may go on."""
        self.moving, self.paged, self.version = False, True, 0
        waits, self.waits = self.waits, []
        marked, self.moved_marks = self.moved_marks, set()
        self._mark(now, marked)
        for on_done in waits:
            on_done(now, True)

    def _remove_record(self, now: float) -> None:
        """The last step of a move: all pages are stored, so the one record may go."""

        def on_done(n: float, outcome: TransactionOutcome, revision: int) -> None:
            self.writing = False
            if outcome is TransactionOutcome.APPLIED:
                self._moved(n)
            else:
                # If it was applied after all, the watch will say so.
                self.next_write = n + 4 * self.gap_s

        self.writing = self.removing = True
        guards = {FENCING_TOKEN_KEY: self.token_version(), INVENTORY_KEY: self.version}
        self._submit(
            now,
            Operation(
                guards, [DeleteKey(INVENTORY_KEY)], on_done, now + self.deadline_s, Priority.NORMAL
            ),
        )

    def _remove_leftover(self, now: float) -> None:
        """Pages of an interrupted move that are not in use: no truth, but keys for ever."""
        numbers = sorted(self.leftover_pages)[: self.txn_ops]
        guards = {FENCING_TOKEN_KEY: self.token_version()}
        guards.update({f"{INVENTORY_PAGES_PREFIX}{n}": self.leftover_pages[n] for n in numbers})

        def on_done(n: float, outcome: TransactionOutcome, revision: int) -> None:
            self.writing = False
            if outcome is TransactionOutcome.APPLIED:
                for number in numbers:
                    self.leftover_pages.pop(number, None)
            else:
                self.next_write = n + 4 * self.gap_s

        self.writing = True
        writes = [DeleteKey(f"{INVENTORY_PAGES_PREFIX}{n}") for n in numbers]
        self._submit(
            now, Operation(guards, writes, on_done, now + self.deadline_s, Priority.NORMAL)
        )
        self.next_write = now + len(numbers) * self.gap_s

    # -- writing ---------------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Write what has changed, one write at a time."""
        self._consider(now)
        if self.writing or now < self.next_write:
            return
        if not self.paged and not self.moving:
            if self.dirty:
                self._write(now)
            return
        if self.moving and self.removing and self.version == 0:
            self._moved(now)
        until = float("inf") if self.moving else now
        due = sorted(
            (not p.waits, p.due, p.number)
            for p in self.pages.values()
            if p.due is not None and p.due <= until and not p.leaving
        )
        if due:
            paid = [self.pages[n] for _, _, n in due[: self.txn_ops] if self.budget.take(now, 1.0)]
            if paid:
                self._write_pages(now, paid)
        elif self.moving and all(p.due is None and not p.leaving for p in self.pages.values()):
            if self.leftover_pages:
                self._remove_leftover(now)
            else:
                self._remove_record(now)

    def _submit(self, now: float, op: Operation) -> None:
        self.next_write = now + self.gap_s
        self.transactions.submit(now, op)

    def _record(self, items: dict[str, MachineGroup]) -> InventoryRecord:
        """The record of some machines and bookings."""
        held = {place: MachineGroupRecord(*place) for place in set(items.values())}
        for name in sorted(items):
            record = held[items[name]]
            if name in self.pending_requests:
                record.pending_requests[name] = self.pending_requests[name][1]
            else:
                (record.up if name in self.up else record.starting).append(name)
        return InventoryRecord([held[place] for place in sorted(held)])

    def _mark(self, now: float, marked: set[str]) -> None:
        """Marks as up that are certainly stored."""
        new = (marked & self.up) - self.stored_up
        self.stored_up |= new
        if new:
            self.on_marks_stored(now, new)

    def _write(self, now: float) -> None:
        self.writing, self.dirty = True, False
        waits, self.waits = self.waits, []
        marked = set(self.up)
        items = {**self.machines, **{name: held[0] for name, held in self.pending_requests.items()}}
        value = msgspec.to_builtins(self._record(items))
        token, version = self.token_version(), self.version

        def on_done(n: float, outcome: TransactionOutcome, revision: int) -> None:
            if outcome is TransactionOutcome.UNKNOWN and version == 0:
                self.unsure_at = token
            self._written(n, outcome, revision, waits, marked)

        op = Operation(
            {FENCING_TOKEN_KEY: token, INVENTORY_KEY: version},
            [PutKey(INVENTORY_KEY, value)],
            on_done,
            now + self.deadline_s,
            Priority.NORMAL,
        )
        self._submit(now, op)
        self.size = op.size

    def _written(
        self,
        now: float,
        outcome: TransactionOutcome,
        revision: int,
        waits: list[Wait],
        marked: set[str],
    ) -> None:
        self.writing = False
        if outcome is TransactionOutcome.APPLIED:
            self.version = max(self.version, revision)
            self._mark(now, marked)
        else:
            # Not stored, or not known to be: write again at the version that the watch brings.
            self.dirty = True
            self.next_write = now + 4 * self.gap_s
            if outcome is TransactionOutcome.INVALID:
                self.waits = [*waits, *self.waits]
                self._consider(now, refused=True)
                if self.moving or self.paged:
                    # The bookings go on once the pages count.
                    self.next_write = now
                    return
                self.waits = self.waits[len(waits) :]
        for on_done in waits:
            on_done(now, outcome is TransactionOutcome.APPLIED)

    def _write_pages(self, now: float, due: list[InventoryPage]) -> None:
        pages: list[tuple[InventoryPage, list[Wait], set[str]]] = []
        guards = {FENCING_TOKEN_KEY: self.token_version()}
        if not self.moving:
            # Pages count only without it: no write of theirs may come to stand beside it.
            guards[INVENTORY_KEY] = 0
        writes: list[Write] = []
        size = largest = 0
        for page in due:
            value = msgspec.to_builtins(self._record(page.items))
            largest = max(largest, len(encode(value)))
            write = PutKey(page.key, value)
            size += len(encode(write)) + len(page.key) + PLACE_BYTES
            if writes and size > MAX_BODY_BYTES * 0.8:
                break
            guards[page.key] = page.version
            writes.append(write)
            waits, page.waits, page.due = page.waits, [], None
            pages.append((page, waits, set(page.items)))

        def on_done(n: float, outcome: TransactionOutcome, revision: int) -> None:
            self.writing = False
            learnt = outcome is TransactionOutcome.INVALID and self._refused(
                pages[0][0], largest, len(pages)
            )
            for page, waits, names in pages:
                if outcome is TransactionOutcome.APPLIED:
                    page.version = max(page.version, revision)
                    self._page_stored(n, names, marked, waits)
                elif self.moving or outcome is TransactionOutcome.CONFLICT or learnt:
                    # Not the truth yet, or certainly not stored: the bookings needn't fail.
                    page.waits = [*waits, *page.waits]
                    page.touch(n)
                else:
                    page.touch(n)
                    for wait in waits:
                        wait(n, False)
            if outcome is not TransactionOutcome.APPLIED:
                self.next_write = n + 4 * self.gap_s

        self.writing = True
        marked = set(self.up)
        self._submit(
            now, Operation(guards, writes, on_done, now + self.deadline_s, Priority.NORMAL)
        )

    def _refused(self, page: InventoryPage, size: int, count: int) -> bool:
        """The state service has refused pages as invalid; returns whether that taught anything.

        Either its limits have dropped without notice, or the write can never be stored. Several
        pages say only that there were too many or too much: they go in smaller parts. One page of
        that size says that values must be smaller, if there is anything to take from it.
        """
        if count > 1:
            self.txn_ops = count // 2
            return True
        room = max(LEAST_PAGE_BYTES, size // 2)
        if len(page.items) < 2 or room >= size:
            return False
        self.page_room = min(self.page_room, PAGE_PART * room)
        self._relieve(page)
        return True

    def _page_stored(
        self, now: float, names: set[str], marked: set[str], waits: list[Wait]
    ) -> None:
        """A page with these names is in the state service."""
        for page in self.pages.values():
            left = [name for name in page.leaving if name in names]
            for name in left:
                del page.leaving[name]
                page.touch(now)
        for request, missing in list(self.answered.items()):
            # Names of machines that have gone meanwhile need no page.
            missing -= names
            if not {name for name in missing if name in self.machines}:
                del self.answered[request]
                self.pending_requests.pop(request, None)
                for page in self.pages.values():
                    if page.leaving.pop(request, None) is not None:
                        page.touch(now)
        if self.moving:
            self.moved_marks |= names & marked
            self.waits.extend(waits)
            return
        self._mark(now, names & marked)
        for on_done in waits:
            on_done(now, True)
