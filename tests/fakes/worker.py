"""A machine, its lease and the tasks on it."""

from __future__ import annotations

import json
import random
from typing import Any

from tests.deployments import MACHINE_TYPE


class Worker:
    """A machine and the tasks on it."""

    def __init__(self, simulation, name, zone, spot, kind=MACHINE_TYPE):
        self.simulation, self.name, self.zone, self.spot = simulation, name, zone, spot
        self.machine_type = kind
        self.agent_epoch, self.sequence, self.token = 1, 0, 0
        # By task and attempt: the state, and what more there is to know of it.
        self.tasks: dict[tuple[str, int], dict[str, Any]] = {}
        self.lease_renewed_at = simulation.now
        self.alive = True
        self.fails_tasks = False
        self.reclaim_notice_s = None
        self.hung_until = 0.0
        self.speed = 1.0 - 0.1 * random.Random(name).random()
        self.sent_heartbeats = []
        self.node_index = simulation.rng.randrange(len(simulation.node_names))
        simulation.after(0.01, self.send_heartbeat)
        self.watch_lease()

    def watch_lease(self):
        if not self.alive:
            return
        # A machine that hangs beyond its lease has lost its tasks all the same.
        self.check_lease()
        self.simulation.at_time(self.next_lease_check(), self.watch_lease)

    def next_lease_check(self):
        """When the lease, checked ten times a report, can first be seen to have run out.

        It is only ever renewed, so that the checks before then would find nothing.
        """
        interval = max(0.1, self.simulation.deployment.heartbeat_interval_s / 10)
        check = self.simulation.now + interval
        last = check + self.simulation.lease_s
        while check < last and check - self.lease_renewed_at <= self.simulation.lease_s:
            check += interval
        return check

    def check_lease(self):
        if self.simulation.now - self.lease_renewed_at > self.simulation.lease_s:
            self.drop_all()
            self.agent_epoch += 1
            self.lease_renewed_at = self.simulation.now

    @property
    def hung(self):
        return self.simulation.now < self.hung_until

    def drop_all(self):
        """All tasks are gone without an exit."""
        dropped, self.tasks = self.tasks, {}
        for key, mark in dropped.items():
            self.simulation.task_index.discard(self, key)
            if "gang" in mark and mark["state"] != "exited":
                mark["gang"].on_member_gone(self, key, mark)

    def hang(self, seconds):
        """Execute, report and answer nothing for a while."""
        self.hung_until = max(self.hung_until, self.simulation.now + seconds)
        for mark in list(self.tasks.values()):
            mark["late"] = mark.get("late", 0.0) + seconds
            if "gang" in mark:
                mark["gang"].on_hang(self)
        self.simulation.after(seconds, self.resume)

    def restart(self, seconds):
        """The process ends with all tasks; a new one of a later session is back after that time."""
        self.drop_all()
        self.agent_epoch += 1
        self.sequence, self.token = 0, 0
        self.hang(seconds)
        self.lease_renewed_at = self.simulation.now + seconds

    def resume(self):
        if self.alive and not self.remaining_hang_s():
            self.check_lease()
            for mark in list(self.tasks.values()):
                if "gang" in mark:
                    mark["gang"].on_resume()

    def remaining_hang_s(self):
        left = self.hung_until - self.simulation.now
        return left if left > 1e-6 else 0.0

    def heartbeat_body(self):
        self.sequence += 1
        tasks = []
        for (task, attempt), t in self.tasks.items():
            entry = {"page": task, "take": attempt, "status": t["state"]}
            if t["state"] == "exited":
                entry["cause"] = t["exit_cause"]
                if t.get("saved"):
                    entry["saved"] = True
            tasks.append(entry)
        return json.dumps(
            {
                "press": self.name,
                "address": self.name,
                "rack": self.machine_type["name"],
                "hall": self.zone,
                "borrowed": self.spot,
                "shift": self.agent_epoch,
                "line": self.sequence,
                "baton": self.token,
                "recall_s": self.reclaim_notice_s,
                "pages": tasks,
            }
        ).encode()

    def send_heartbeat(self):
        if not self.alive:
            return
        if self.remaining_hang_s():
            self.simulation.after(self.remaining_hang_s() + 0.01, self.send_heartbeat)
            return
        sent, agent_epoch = self.simulation.now, self.agent_epoch
        target = self.simulation.node_names[self.node_index]
        answered = []

        def reply(status, body):
            if answered or not self.alive:
                return
            if self.remaining_hang_s():
                self.simulation.after(self.remaining_hang_s() + 0.01, lambda: reply(0, b"{}"))
                return
            answered.append(True)
            if self.simulation.now - sent > 4.0:
                # The worker drops answers that took longer.
                status = 0
            if status == 200:
                answer = json.loads(body)
                if answer["baton"] >= self.token and agent_epoch == self.agent_epoch:
                    self.token = answer["baton"]
                    self.lease_renewed_at = max(self.lease_renewed_at, sent)
                    self.execute(answer["orders"])
                heartbeat_interval_s = self.simulation.deployment.heartbeat_interval_s
                pause = heartbeat_interval_s * self.simulation.rng.uniform(0.75, 1.25)
                self.simulation.after(pause, self.send_heartbeat)
                return
            hint = json.loads(body).get("editor") if status == 421 else None
            if hint in self.simulation.node_names and hint != target:
                self.node_index = self.simulation.node_names.index(hint)
                self.simulation.after(0.1, self.send_heartbeat)
            else:
                self.node_index = (self.node_index + 1) % len(self.simulation.node_names)
                self.simulation.after(1.0, self.send_heartbeat)

        body = self.heartbeat_body()
        self.sent_heartbeats.append((target, body))
        self.simulation.deliver_heartbeat(self.name, target, body, reply)
        self.simulation.maybe_duplicate_heartbeat(target, body)
        self.simulation.after(4.0, lambda: reply(0, b"{}"))

    def on_command(self, raw, reply):
        if not self.alive:
            return
        if self.remaining_hang_s():
            self.simulation.after(
                self.remaining_hang_s() + 0.01, lambda: self.on_command(raw, reply)
            )
            return
        order = json.loads(raw)
        if order["baton"] < self.token or order["shift"] != self.agent_epoch:
            reply(409, self.heartbeat_body())
            return
        self.token = order["baton"]
        self.execute(order["orders"])
        reply(200, self.heartbeat_body())

    def execute(self, orders):
        for order in orders:
            key = (order["page"], order["take"])
            if order["verb"] == "run":
                self.start_task(key)
            elif order["verb"] == "kill" and key in self.tasks:
                mark = self.tasks[key]
                if "gang" in mark and mark["state"] not in ("pulling", "exited"):
                    mark["gang"].on_stop_command(self, key, mark, order.get("windup_s") or 0.0)
                elif mark["state"] != "exited":
                    self.end_task(key, "halted")
            elif order["verb"] == "clear" and self.tasks.get(key, {}).get("state") == "exited":
                del self.tasks[key]

    def start_task(self, key):
        if key in self.tasks:
            return
        task, _ = key
        spec = self.simulation.specs.get(task.split("/")[0])
        exit_cause = self.simulation.start_refusals.pop(task, None)
        used = sum(t["cpus"] for t in self.tasks.values() if t["state"] != "exited")
        if exit_cause:
            pass
        elif spec is None:
            exit_cause = "unknown"
        elif any(other[0] == task for other in self.tasks):
            exit_cause = "in_use"
        elif used + spec["cpus"] > self.machine_type["cpus"] + 1e-6:
            exit_cause = "no_room"
        if exit_cause:
            self.tasks[key] = {
                "state": "exited",
                "exit_cause": exit_cause,
                "cpus": 0.0,
                "saved": False,
            }
            return
        mark = self.tasks[key] = {"state": "pulling", "cpus": spec["cpus"]}
        if spec["form"] == "ensemble":
            mark["gang"] = self.simulation.gang(task.split("/")[0], key[1])
        fetch_s = self.simulation.image_pull_s.get(task, 0.3)
        self.simulation.after(fetch_s, lambda: self.begin_task(key, mark, spec))

    def begin_task(self, key, mark: dict[str, Any], spec):
        if not self.alive or self.tasks.get(key) is not mark or mark["state"] != "pulling":
            return
        if self.postponed_by_hang(mark, lambda: self.begin_task(key, mark, spec)):
            return
        if "gang" in mark:
            mark["gang"].join(self, key, mark)
            return
        mark["state"] = "running"
        self.simulation.task_index.add(self, key)
        self.simulation.on_task_started(self, key[0], spec)
        wait = (
            0.2 if self.fails_tasks else self.simulation.rng.uniform(0.5, 1.5) * spec["runtime_s"]
        )
        exit_cause = "error" if self.fails_tasks or spec.get("broken") else "done"

        def over():
            if self.tasks.get(key) is mark and not self.postponed_by_hang(mark, over):
                self.end_task(key, exit_cause)

        self.simulation.after(wait, over)

    def postponed_by_hang(self, mark, action):
        """Whether the machine hung meanwhile: then the action is only due that much later."""
        late = mark.pop("late", 0.0)
        if late:
            self.simulation.after(late, action)
        return bool(late)

    def end_task(self, key, exit_cause, saved=False):
        mark = self.tasks[key]
        if self.alive and mark["state"] != "exited":
            mark.update(state="exited", exit_cause=exit_cause, saved=saved)
            self.simulation.task_index.discard(self, key)
            if exit_cause == "done":
                self.simulation.completed.add(key[0])
            if "gang" in mark:
                mark["gang"].on_member_gone(self, key, mark)

    def present_tasks(self):
        """The tasks that are on this machine: from the image to the exit."""
        return [
            k[0]
            for k, t in self.tasks.items()
            if t["state"] in ("gathering", "running", "flushing")
        ]

    def tasks_in_state(self, state):
        return [k for k, t in self.tasks.items() if t["state"] == state]


class WorkerRequest:
    """A worker's report that waits for its answer."""

    def __init__(self, answer):
        self.answer = answer
