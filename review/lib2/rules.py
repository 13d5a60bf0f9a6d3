"""Checks the rules of the protocol page, from what users, workers and the platform see."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from worker import Worker


class Rules:
    """Notes every broken rule in `broken`."""

    def __init__(
        self,
        record: Callable[[str], None],
        jobs: dict[str, Any],
        teams: dict[str, tuple[float, float]],
        cancel_s: float,
    ) -> None:
        self.record, self.jobs, self.teams, self.cancel_s = record, jobs, teams, cancel_s
        self.broken = []
        # By task: the machines on which it is, with the attempt.
        self.present = {}
        self.completed = set()
        # What users were told last, and when they were told that a job is cancelled.
        self.told, self.cancelled_at, self.cancel_asked = {}, {}, set()
        self.starts = 0

    def break_rule(self, rule: str, text: str) -> None:
        """Note a broken rule."""
        self.broken.append((rule, text))
        self.record(f"RULE BROKEN {rule}: {text}")

    def on_start(self, worker: Worker, page: str, take: int, spec: dict[str, Any]) -> None:
        """Check a task that starts."""
        self.starts += 1
        self.record(f"{worker.name} starts {page} take {take:x}")
        others = self.present.setdefault(page, {})
        for name, other in others.items():
            self.break_rule(
                "ran_twice", f"{page} starts on {worker.name}, is on {name} ({other:x})"
            )
        others[worker.name] = take
        used = sum(
            self.jobs[p.split("/")[0]]["cpus"] * len(machines)
            for p, machines in self.present.items()
            if self.jobs[p.split("/")[0]]["desk"] == spec["desk"]
        )
        if used > self.teams[spec["desk"]][1] + 1e-6:
            self.break_rule("quota", f"{spec['desk']} uses {used} CPUs after the start of {page}")
        job_id = page.split("/")[0]
        self.check_place(worker, page, job_id, spec)
        told = self.cancelled_at.get(job_id)
        if told is not None and time.monotonic() - told > self.cancel_s:
            self.break_rule("ran_cancelled", f"{page} starts {time.monotonic() - told:.1f} s after")

    def check_place(self, worker: Worker, page: str, job_id: str, spec: dict[str, Any]) -> None:
        """Check the type, the zone and the kind of the machine on which a task starts."""
        halls = [
            hall
            for p, machines in self.present.items()
            if p.split("/")[0] == job_id
            for hall in (self.halls[name] for name in machines)
        ]
        wrong = (
            (spec["racks"] is not None and worker.rack not in spec["racks"])
            or spec["hall"] not in (None, worker.hall)
            or (worker.borrowed and not spec["borrowed"])
            or (spec["same_place"] and len(set(halls)) > 1)
            or (spec["spread"] and halls.count(worker.hall) > (spec["pages"] + 1) // 2)
        )
        if wrong:
            self.break_rule("wrong_place", f"{page} starts on {worker.name} in {worker.hall}")

    def on_gone(self, worker: Worker, page: str, take: int, why: str) -> None:
        """Note that a task is on its machine no more."""
        self.record(f"{worker.name} ends {page} take {take:x}: {why}")
        if self.present.get(page, {}).get(worker.name) == take:
            del self.present[page][worker.name]
        if why == "done":
            self.completed.add(page)

    def on_answer(
        self, job_id: str, kind: str, status: int, answer: dict[str, Any], asked_at: float
    ) -> None:
        """Check an answer to a user: `kind` is submit, poll or cancel."""
        told = self.told.get(job_id)
        if told is not None and status in (400, 404, 422):
            self.break_rule("forgotten", f"{job_id} {kind} {status} after {told}")
        if status not in (200, 201):
            return
        state = answer.get("status")
        if job_id not in self.jobs:
            self.break_rule("invented", f"{job_id} {answer}")
            return
        if told in ("done", "withdrawn") and state != told:
            self.break_rule("went_back", f"{job_id} {told} -> {state}")
        if state == "withdrawn" and job_id not in self.cancel_asked:
            self.break_rule("went_back", f"{job_id} withdrawn, nobody asked")
        if state == "done":
            pages = range(self.jobs[job_id]["pages"])
            missing = [i for i in pages if f"{job_id}/{i}" not in self.completed]
            if missing:
                self.break_rule("not_done", f"{job_id} done without tasks {missing[:5]}")
        if state == "withdrawn":
            self.cancelled_at.setdefault(job_id, time.monotonic())
        self.told[job_id] = state

    def check_cancelled(self) -> None:
        """Check that no task of a cancelled job is on a machine for too long."""
        now = time.monotonic()
        for page, machines in self.present.items():
            told = self.cancelled_at.get(page.split("/")[0])
            if machines and told is not None and now - told > self.cancel_s:
                text = f"{page} is on {list(machines)} {now - told:.1f} s after"
                if not any(entry == ("ran_cancelled", page) for entry in self.broken):
                    self.broken.append(("ran_cancelled", page))
                    self.record(f"RULE BROKEN ran_cancelled: {text}")
