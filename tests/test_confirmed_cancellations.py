"""Confirmed cancellations: no task starts once any user knows that its job is cancelled."""

import heapq
import itertools
import random

import pytest

from copperpass.core.cancellations.confirmations import (
    CancellationConfirmations,
    ConfirmationContext,
    StoredCancellation,
)
from copperpass.core.cancellations.start_permits import StartPermitContext, StartPermits
from copperpass.core.cancellations.timings import CancellationTimings
from copperpass.core.ports import Outbox
from copperpass.protocol.frames.messages import (
    CancellationAcknowledged,
    JobCancelled,
    StartPermit,
    StartPermitRequest,
)
from copperpass.protocol.users import JobState
from tests.request_bodies import job
from tests.scenarios import run_checked
from tests.simulation import Simulation
from tests.test_service_guarantees import PARTITIONED_AND_NOT

# A message to another controller and one from there to the machine may be under way.
MESSAGES_IN_FLIGHT = 2


def busy_simulation(seed=4, **parameters):
    """A simulation in which each team has an array whose tasks start all the time."""
    simulation = Simulation(seed=seed, **parameters)
    simulation.run_until(simulation.leader)
    simulation.run(3.0)
    for number, team in ((1, "red"), (2, "blue")):
        simulation.submit(job(number, team=team, tasks=3000, cpus=2.0, run_s=1.0))
    simulation.run_until(lambda: simulation.starts > 150, 90)
    return simulation


def confirm_cancellations(simulation, names, seconds=12.0):
    """Cancel both jobs at the given controllers, each again until it is confirmed."""
    end = simulation.now + seconds
    open_jobs = {"req-000001", "req-000002"}
    requests = {}
    while open_jobs and simulation.now < end:
        for job_id in sorted(open_jobs):
            request = requests.get(job_id)
            if request is None or request.status not in (None, 200):
                requests[job_id] = simulation.cancel(job_id, simulation.rng.choice(names))
        simulation.run(0.25)
        open_jobs -= {job_id for job_id in open_jobs if requests[job_id].status == 200}
    assert not open_jobs, "the user gets an answer while a controller is cut off"


def late_starts(simulation):
    """The delays, after the confirmation, of starts that were not in flight then."""
    in_flight_s = MESSAGES_IN_FLIGHT * simulation.latency_s[1]
    return [delay_s for delay_s in simulation.starts_after_cancel_s if delay_s > in_flight_s]


@PARTITIONED_AND_NOT
@pytest.mark.parametrize("fault", ["isolated", "hung watch", "cut from members", "refused"])
def test_cut_off_owner_starts_no_task_of_a_job_whose_cancellation_is_confirmed(fault, partitioned):
    # Guards against a confirmation that waits neither for the members that may start tasks nor for
    # the end of their authority: a cut-off leader started a hundred tasks after it.
    simulation = busy_simulation(partitioned=partitioned)
    cut_off = simulation.leader()
    others = [name for name in simulation.node_names if name != cut_off]
    if fault == "isolated":
        simulation.isolate(cut_off)
    elif fault == "refused":
        simulation.kvstore_refuses.add(cut_off)
    else:
        for name in others:
            simulation.cut(cut_off, name)
        if fault == "hung watch":
            simulation.watches_blocked.add(cut_off)
    simulation.run(0.3)
    confirm_cancellations(simulation, others)
    run_checked(simulation, simulation.cancel_s)
    assert not late_starts(simulation)
    simulation.finish(900.0)


@PARTITIONED_AND_NOT
def test_poll_at_another_controller_does_not_tell_of_a_cancellation_before_it_is_confirmed(
    partitioned,
):
    # Guards against a user who learns of the cancellation by a poll or by a repeated submission,
    # while the controller that stored it still waits for a cut-off owner.
    simulation = busy_simulation(partitioned=partitioned)
    cut_off = simulation.leader()
    others = [name for name in simulation.node_names if name != cut_off]
    simulation.isolate(cut_off)
    simulation.run(0.3)
    simulation.cancel("req-000001", others[0])
    simulation.run(0.2)
    end = simulation.now + 8.0
    polls = []
    while simulation.now < end:
        polls.append(simulation.poll("req-000001", others[1]))
        polls.append(simulation.submit(simulation.specs["req-000001"], others[1]))
        run_checked(simulation, 0.2)
    answers = {request.status for request in polls}
    assert answers <= {200, 503, None}
    told = [r for r in polls if r.status == 200 and r.body["status"] == JobState.CANCELLED]
    assert told and not late_starts(simulation)
    simulation.finish(900.0)


@PARTITIONED_AND_NOT
def test_cancellation_is_confirmed_at_once_while_all_controllers_are_connected(partitioned):
    # Guards against confirmations that wait for the whole time although all members answer.
    simulation = busy_simulation(partitioned=partitioned)
    requests = [simulation.cancel(f"req-{n:06d}", f"n{n}") for n in (1, 2)]
    simulation.run(0.3)
    assert [request.status for request in requests] == [200, 200]
    run_checked(simulation, 5.0)
    assert not late_starts(simulation)
    simulation.finish(600.0)


@PARTITIONED_AND_NOT
def test_tasks_start_during_an_outage_of_the_store_while_all_members_are_connected(partitioned):
    # Guards `StartPermits`: without them no task starts once the watch cache is not recent.
    simulation = busy_simulation(partitioned=partitioned)
    simulation.kvstore.down = True
    simulation.run(8.0)
    starts = simulation.starts
    run_checked(simulation, 4.0)
    assert simulation.starts > starts + 20
    simulation.end_outage()
    confirm_cancellations(simulation, simulation.node_names)
    run_checked(simulation, 5.0)
    assert not late_starts(simulation)
    simulation.finish(900.0)


@PARTITIONED_AND_NOT
def test_polls_of_jobs_cancelled_long_ago_are_answered_at_once_and_cause_no_notices(partitioned):
    # Guards against frames, and marks of cancelled jobs, for each poll of a job that all members
    # have known as cancelled for long; also while a controller is down.
    simulation = busy_simulation(partitioned=partitioned)
    confirm_cancellations(simulation, simulation.node_names)
    run_checked(simulation, simulation.cancel_s)
    down, *others = simulation.node_names
    simulation.crash(down, 30.0)
    simulation.run(5.0)
    marked = {name: len(simulation.nodes[name].jobs.cancelled) for name in others}
    polls = [simulation.poll("req-000001", name) for name in others]
    simulation.run(0.3)
    assert [poll.body["status"] for poll in polls] == [JobState.CANCELLED] * 2
    assert not any(simulation.nodes[name].confirmations.confirmations for name in others)
    assert marked == {name: len(simulation.nodes[name].jobs.cancelled) for name in others}


# -- a model of one member that confirms cancellations and one that starts tasks


TIMINGS = CancellationTimings(fresh_s=3.0, request_age_s=2.5, permit_s=1.0, forget_after_s=30.0)


class Model:
    """Two members with drifting clocks and a network that delays, holds and loses messages.

    Both follow a store with one revision per cancellation. `starts` and `told` hold true times.
    """

    def __init__(self, seed, timings=TIMINGS, confirmations=CancellationConfirmations):
        self.rng, self.now, self.events = random.Random(seed), 0.0, []
        self.order = itertools.count()
        drift = [1 + self.rng.uniform(-0.00025, 0.00025) for _ in range(2)]
        self.clocks = {"confirmer": drift[0], "starter": drift[1]}
        self.outboxes = {name: Outbox() for name in self.clocks}
        self.stored: dict[str, float] = {}
        self.known_by_starter: set[str] = set()
        self.starts: list[tuple[str, float]] = []
        self.told: dict[str, float] = {}
        self.starter_revision, self.starter_consistent_at = 0, 0.0
        self.watch_hangs_until = 0.0
        self.held_until = {"confirmer": 0.0, "starter": 0.0}
        self.confirmations = confirmations(
            ConfirmationContext(
                timings=timings,
                outbox=self.outboxes["confirmer"],
                max_remembered=1000,
                possible_starters=lambda revision: ["starter"],
                apply=lambda now, job_id: None,
                knows_notices=lambda member: True,
                can_acknowledge=lambda now, member: True,
                synced_revision=lambda: 0,
            )
        )
        self.permits = StartPermits(
            StartPermitContext(
                peers=["confirmer"],
                timings=timings,
                outbox=self.outboxes["starter"],
                first_number=seed,
                consistent_at=lambda: self.starter_consistent_at,
                revision=lambda: self.starter_revision,
                knows_permits=lambda now, member: True,
            )
        )

    def at(self, time, action):
        heapq.heappush(self.events, (time, next(self.order), action))

    def clock(self, name):
        return 1000.0 + self.now * self.clocks[name]

    def send_all(self, sender):
        receiver = "starter" if sender == "confirmer" else "confirmer"
        for _, frame in self.outboxes[sender].frames:
            if self.now < self.held_until[sender] and self.rng.random() < 0.3:
                continue
            arrival = max(self.now, self.held_until[sender]) + self.rng.uniform(0.001, 0.2)
            self.at(arrival, lambda frame=frame: self.receive(receiver, frame))
        self.outboxes[sender].frames.clear()

    def receive(self, receiver, frame):
        now = self.clock(receiver)
        if isinstance(frame, JobCancelled):
            self.known_by_starter.add(frame.job)
            self.outboxes[receiver].send("confirmer", CancellationAcknowledged(frame.job))
        elif isinstance(frame, CancellationAcknowledged):
            self.confirmations.on_acknowledged(now, "starter", frame)
        elif isinstance(frame, StartPermitRequest):
            self.confirmations.on_permit_request(now, "starter", frame)
        elif isinstance(frame, StartPermit):
            self.permits.on_permit("confirmer", frame)
        self.send_all(receiver)

    def watch(self):
        """The starter's watch is answered as of a moment ago, unless it hangs."""
        if self.now >= self.watch_hangs_until:
            as_of = self.now - self.rng.uniform(0.0, 0.5)
            self.starter_consistent_at = 1000.0 + as_of * self.clocks["starter"]
            seen = {job_id for job_id, at in self.stored.items() if at < as_of}
            self.known_by_starter |= seen
            self.starter_revision = max(self.starter_revision, len(seen))
        self.at(self.now + self.rng.uniform(0.2, 2.0), self.watch)

    def break_something(self):
        fault = self.rng.choice(["watch", "confirmer", "starter", "all"])
        until = self.now + self.rng.uniform(0.5, 12.0)
        if fault in ("watch", "all"):
            self.watch_hangs_until = until
        for name in self.held_until:
            if fault in (name, "all"):
                self.held_until[name] = until
        self.at(self.now + self.rng.uniform(1.0, 15.0), self.break_something)

    def cancel(self):
        job_id = f"req-{len(self.stored) + 1:06d}"
        self.stored[job_id] = self.now
        cancellation = StoredCancellation(job_id, len(self.stored), self.clock("confirmer"))
        self.ask(cancellation)
        self.at(self.now + self.rng.uniform(0.2, 6.0), self.cancel)

    def ask(self, cancellation):
        """A user asks until the cancellation is confirmed."""

        def on_done(now, remaining_s):
            if remaining_s <= 0.0:
                self.told.setdefault(cancellation.job_id, self.now)
            else:
                self.at(self.now + 1.0, lambda: self.ask(cancellation))

        deadline = self.clock("confirmer") + 1.5
        self.confirmations.confirm(self.clock("confirmer"), cancellation, deadline, on_done)
        self.send_all("confirmer")

    def tick(self):
        self.confirmations.tick(self.clock("confirmer"))
        self.permits.tick(self.clock("starter"))
        if self.permits.may_start(self.clock("starter")):
            unknown = self.stored.keys() - self.known_by_starter
            self.starts += [(job_id, self.now) for job_id in unknown]
        self.send_all("confirmer")
        self.send_all("starter")
        self.at(self.now + 0.02, self.tick)

    def run(self, seconds):
        for action in (self.watch, self.break_something, self.cancel, self.tick):
            self.at(self.now, action)
        while self.events and self.events[0][0] < seconds:
            self.now, _, action = heapq.heappop(self.events)
            action()

    def late_starts(self):
        return [(job_id, at) for job_id, at in self.starts if at > self.told.get(job_id, 1e9)]


@pytest.mark.parametrize("seed", range(40))
def test_no_start_follows_a_confirmation_whatever_the_network_delays_or_loses(seed):
    # Guards the argument in docs/design.md, "Confirmed cancellations".
    model = Model(seed)
    model.run(120.0)
    assert len(model.told) > 15
    assert model.late_starts() == []


class ImpatientTimings(CancellationTimings):
    """Confirms before a start permit that was given has certainly expired."""

    @property
    def confirmer_permit_s(self) -> float:
        """No time at all."""
        return 0.0


class HastyTimings(CancellationTimings):
    """Confirms although the starter's watch cache may still count as recent."""

    @property
    def confirmer_fresh_s(self) -> float:
        """Half of the time that the starter counts."""
        return self.fresh_s / 2


class GenerousConfirmations(CancellationConfirmations):
    """Gives permits to members that have not acknowledged all confirmed cancellations."""

    def on_permit_request(self, now, sender, request):
        """Always give a permit, and remember it."""
        self._permit_given_at[sender] = now
        self.context.outbox.send(sender, StartPermit(request.number))


# Permits that outlast the freshness of a watch cache show the guard of their duration.
LONG_PERMITS = {"fresh_s": 3.0, "request_age_s": 1.0, "permit_s": 6.0, "forget_after_s": 30.0}


@pytest.mark.parametrize(
    ("timings", "confirmations"),
    [
        (ImpatientTimings(**LONG_PERMITS), CancellationConfirmations),
        (HastyTimings(**LONG_PERMITS), CancellationConfirmations),
        (CancellationTimings(**LONG_PERMITS), GenerousConfirmations),
    ],
)
def test_model_finds_late_starts_without_each_guard(timings, confirmations):
    # Shows that the model above can fail.
    for seed in range(60):
        model = Model(seed, timings, confirmations)
        model.run(120.0)
        if model.late_starts():
            return
    pytest.fail("no late start was found")


def test_long_permits_are_safe_with_all_guards():
    # The counterpart of the test above.
    for seed in range(60):
        model = Model(seed, CancellationTimings(**LONG_PERMITS))
        model.run(120.0)
        assert model.late_starts() == []
