"""Stand-ins for the outside systems, written from the protocol: all in memory, one clock.

Messages take time, can be held, lost or delivered late; processes can be cut
off, crash and come back. The rules of the protocol are checked as it runs.
"""

from __future__ import annotations

import functools
import heapq
import itertools
import json
import random

from copperpass import peer, wire
from copperpass import settings as settings_module
from copperpass.core.fleet import UNIDENTIFIED
from copperpass.core.node import Node
from copperpass.core.ports import Outcome
from tests.deployments import LIMITS, TWO_TEAMS, TYPE, Deployment


def raw_settings(
    index=0,
    nodes=3,
    lease_s=12.0,
    cancel_s=40.0,
    cores=1.0,
    coming=None,
    gang_wait_s=42.0,
    gang_peer_s=4.0,
    deployment: Deployment = TWO_TEAMS,
):
    names = [f"n{i}" for i in range(nodes)]
    zones = ["a", "b", "c"]
    return {
        "member": names[index],
        "domain": zones[index % 3],
        "serve_on": f"127.0.0.1:{9000 + index}",
        "internal_addr": f"127.0.0.1:{9100 + index}",
        "members": [
            {"member": n, "domain": zones[i % 3], "addr": f"127.0.0.1:{9100 + i}"}
            for i, n in enumerate(names)
            if i != index
        ],
        "external": {"cloud": "127.0.0.1:9200", "state": "127.0.0.1:9201"},
        "new_and_unknown": 1,
        "settings": {
            "zones": zones,
            "teams": list(deployment.teams),
            "objectives": list(deployment.objectives),
            "workers": {
                "report_s": deployment.report_s,
                "lease_s": lease_s,
                "cancel_s": cancel_s,
                "gang_wait_s": gang_wait_s,
                "gang_peer_s": gang_peer_s,
            },
            "state": {**deployment.state, **({"next": coming} if coming else {})},
            "cloud": {"rps": deployment.cloud_rps, "list_lag_s": 3.0},
            "resources": {"cores": cores, "max_connections": deployment.max_connections},
        },
    }


def job(number, team="red", tasks=2, cpus=4.0, run_s=10.0, **more):
    body = {
        "id": f"req-{number:06d}",
        "slot": "quick",
        "desk": team,
        "form": "batch",
        "urgency": "high",
        "pages": tasks,
        "cpus": cpus,
        "cards": 0.0,
        "memory_gb": 8.0,
        "master": "img-1",
        "size_gb": 0.5,
        "racks": None,
        "hall": None,
        "same_place": False,
        "spread": False,
        "borrowed": True,
        "runtime_s": run_s,
        "proof_s": 0.0,
        "flush_s": 0.0,
        "edition_s": None,
    }
    body.update(more)
    return body


def gang(number, tasks=4, cpus=8.0, **more):
    """A job whose tasks run together: by default on two machines of one zone."""
    return job(
        number,
        tasks=tasks,
        cpus=cpus,
        **{"form": "ensemble", "same_place": True, "proof_s": 5.0, "flush_s": 1.0, **more},
    )


class State:
    """The state service: keys, leases, guarded transactions and watches."""

    def __init__(self, simulation, deployment=TWO_TEAMS):
        self.simulation = simulation
        self.data, self.revision, self.log = {}, 0, []
        self.leases, self.lease_ids = {}, itertools.count(1)
        self.down = False
        self.watches = []
        # What the settings say, and what holds now.
        self.announced = {name: deployment.state[name] for name in LIMITS}
        self.limits, self.level = dict(self.announced), self.announced["write_rps"]
        self.filled = 0.0
        self.writes, self.too_large, self.too_fast, self.largest = 0, 0, 0, 0

    def drop(self, **limits):
        """From now on, without notice."""
        self.limits.update(limits)

    def refuses(self, txn):
        """Why a transaction is beyond the limits: a status, or None."""
        writes, limits = txn["writes"], self.limits
        sizes = [len(json.dumps(w["value"])) for w in writes if "put" in w]
        self.largest = max([self.largest, *sizes])
        if (
            len(writes) > limits["txn_ops"]
            or len(txn["guards"]) > 4 * limits["txn_ops"]
            or (max(sizes, default=0) > 1024 * limits["value_kb"])
        ):
            self.too_large += 1
            return 400
        rate = limits["write_rps"]
        self.level = min(rate, self.level + (self.simulation.now - self.filled) * rate)
        self.filled = self.simulation.now
        if self.level < len(writes):
            self.too_fast += 1
            return 429
        self.level -= len(writes)
        self.writes += len(writes)
        return None

    def expire(self):
        for lease, (until, _) in list(self.leases.items()):
            if self.simulation.now > until and not self.down:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        gone = [k for k, v in self.data.items() if v[2] == lease]
        if gone:
            self.revision += 1
            for key in gone:
                del self.data[key]
                self.log.append((self.revision, key, None))
            self.wake()

    def handle(self, method, path, body, reply, asker=""):
        self.expire()
        if self.down:
            if not path.startswith("/follow"):
                reply(503, b"{}")
            return
        if path.startswith("/kv/"):
            found = self.data.get(path[4:])
            if found is None:
                reply(404, b"{}")
            else:
                reply(
                    200,
                    json.dumps({"path": path[4:], "value": found[0], "stamp": found[1]}).encode(),
                )
        elif path.startswith("/kv?"):
            query = dict(part.split("=") for part in path[4:].split("&"))
            keys = sorted(
                k for k in self.data if k.startswith(query["under"]) and k > query.get("since", "")
            )
            page = keys[: int(query["most"])]
            reply(
                200,
                json.dumps(
                    {
                        "items": [
                            {"path": k, "value": self.data[k][0], "stamp": self.data[k][1]}
                            for k in page
                        ],
                        "truncated": len(keys) > len(page),
                        "issue": self.revision,
                    }
                ).encode(),
            )
        elif path.startswith("/follow"):
            query = dict(part.split("=") for part in path.split("?")[1].split("&"))
            watch = [query["under"], int(query["since"]), reply, asker]
            self.watches.append(watch)
            self.simulation.after(int(query["block_ms"]) / 1000, lambda: self.answer(watch, True))
            self.wake()
        elif path == "/multi":
            self.transaction(json.loads(body), reply)
        elif path == "/leases":
            lease = next(self.lease_ids)
            ttl = json.loads(body)["ttl_ms"] / 1000
            self.leases[lease] = (self.simulation.now + ttl, ttl)
            reply(200, json.dumps({"permit": lease}).encode())
        elif method == "DELETE":
            self.end_lease(int(path.split("/")[2]))
            reply(200, b"{}")
        else:
            lease = int(path.split("/")[2])
            if lease not in self.leases:
                reply(404, b"{}")
                return
            ttl = self.leases[lease][1]
            self.leases[lease] = (self.simulation.now + ttl, ttl)
            reply(200, b"{}")

    def transaction(self, txn, reply):
        writes = txn["writes"]
        refused = self.refuses(txn)
        if refused is not None:
            assert refused == 429 or self.limits != self.announced, (
                "beyond the limits of the settings"
            )
            reply(refused, b'{"error":"limits"}')
            return
        if any(w.get("permit") is not None and w["permit"] not in self.leases for w in writes):
            reply(400, b'{"error":"no such lease"}')
            return
        failed = [
            g["path"]
            for g in txn["guards"]
            if self.data.get(g["path"], (None, 0, None))[1] != g["stamp"]
        ]
        if failed:
            reply(409, json.dumps({"failed": failed, "issue": self.revision}).encode())
            return
        self.revision += 1
        for write in writes:
            if "put" in write:
                self.data[write["put"]] = (write["value"], self.revision, write.get("permit"))
                self.log.append((self.revision, write["put"], write["value"]))
            elif self.data.pop(write["remove"], None):
                self.log.append((self.revision, write["remove"], None))
        self.simulation.wrote(writes)
        reply(200, json.dumps({"issue": self.revision}).encode())
        self.wake()

    def wake(self):
        for watch in list(self.watches):
            self.answer(watch, False)

    def answer(self, watch, timed_out):
        prefix, since, reply, asker = watch
        if watch not in self.watches or self.down or asker in self.simulation.refused:
            # Also the open watches of a node that is refused alone wait as in an outage.
            return
        news = [e for e in self.log if e[0] > since and e[1].startswith(prefix)]
        if news or timed_out:
            self.watches.remove(watch)
            events = [
                {"remove": k, "stamp": r} if v is None else {"put": k, "value": v, "stamp": r}
                for r, k, v in news
            ]
            reply(200, json.dumps({"issue": self.revision, "news": events}).encode())


class Gang:
    """The tasks of one attempt of a gang, and what they know of each other.

    A task is a member from the moment it has its image until it is gone.
    """

    def __init__(self, simulation, job_id, attempt):
        self.simulation, self.job_id, self.attempt = simulation, job_id, attempt
        self.spec = simulation.specs[job_id]
        self.members = {}  # (worker, key of the task) -> what the worker notes of it
        self.started = self.broken = self.safe = self.over = self.late = False
        self.progress, self.since, self.speed, self.turn = 0.0, None, 1.0, 0
        self.first_stop, self.told = None, set()

    # -- waiting

    def join(self, worker, key, mark):
        mark.update(state="gathering", at=self.simulation.now)
        self.members[worker, key] = mark
        self.simulation.started(worker, key[0], self.spec)
        others = [
            g
            for (j, a), g in self.simulation.gangs.items()
            if j == self.job_id and a != self.attempt and g.members
        ]
        if others:
            self.simulation.broken.append(f"two_attempts: {key} beside {others[0].attempt}")
        if key[0] in self.simulation.completed:
            worker.end(key, "done")
            return
        if worker.sick or self.spec.get("broken"):
            self.simulation.after(0.2, lambda: self.leave(worker, key, mark, "error"))
        self.simulation.after(
            self.simulation.gang_wait_s, lambda: self.leave(worker, key, mark, "alone", "gathering")
        )
        self.begin()

    def begin(self):
        """Start together, once every task has its image and executes."""
        ready = {key[0] for (worker, key), _ in self.members.items() if not worker.hung_for()}
        if self.started or len(ready) < self.spec["pages"]:
            return
        self.started = True
        for mark in self.members.values():
            self.simulation.waited += self.simulation.now - mark.pop("at")
            mark["state"] = "running"
        self.speed = min(worker.speed for worker, _ in self.members)
        self.progress = self.simulation.progress.get(self.job_id, 0.0)
        self.go()

    def leave(self, worker, key, mark, why, only=None, **more):
        """Exit by itself, once its machine executes it."""
        if (
            worker.tasks.get(key) is not mark
            or mark["state"] == "exited"
            or (only and mark["state"] != only)
        ):
            return
        if worker.hung_for():
            self.simulation.after(
                worker.hung_for() + 0.01, lambda: self.leave(worker, key, mark, why, only, **more)
            )
            return
        if why == "alone":
            self.simulation.alone.add((self.job_id, self.attempt))
        worker.end(key, why, **more)

    # -- running

    def length(self):
        if self.job_id not in self.simulation.lengths:
            self.simulation.lengths[self.job_id] = (
                self.simulation.gang_rng.uniform(0.5, 1.5) * self.spec["runtime_s"]
            )
        return self.simulation.lengths[self.job_id]

    def go(self):
        self.since = self.simulation.now
        self.turn += 1
        turn, left = self.turn, max(0.0, self.length() - self.progress) / self.speed
        self.simulation.after(left, lambda: turn == self.turn and self.finish())

    def rest(self):
        """Progress stops."""
        if self.since is not None:
            self.progress += (self.simulation.now - self.since) * self.speed
        self.since = None
        self.turn += 1

    def finish(self):
        self.rest()
        self.over = True
        self.simulation.completed.update(f"{self.job_id}/{i}" for i in range(self.spec["pages"]))
        for worker, key in list(self.members):
            worker.end(key, "done")

    def checkpoint(self):
        every, kept = self.spec["proof_s"], self.simulation.progress.get(self.job_id, 0.0)
        return max(kept, int(self.progress / every + 1e-9) * every) if every > 0 else 0.0

    def gone(self, worker, key, mark):
        """A member has exited, or its machine is gone."""
        if self.members.pop((worker, key), None) is None:
            return  # it never had its image
        if "at" in mark:
            self.simulation.waited += self.simulation.now - mark.pop("at")
        elif self.started and not self.over and not self.safe:
            self.fail()

    def fail(self, within=None):
        """A running gang has lost a task: the others notice in time and exit."""
        if self.broken:
            return
        self.fall_back()
        within = self.simulation.gang_peer_s if within is None else within
        for (worker, key), mark in self.members.items():
            wait = self.simulation.gang_rng.uniform(0.3, 1.0) * within
            self.simulation.after(
                wait, functools.partial(self.leave, worker, key, mark, "mates_gone")
            )

    def fall_back(self):
        self.rest()
        self.broken = True
        self.simulation.progress[self.job_id] = self.checkpoint()

    def hangs(self, worker):
        if not self.started or self.broken or self.safe or self.over:
            return
        self.rest()
        until, within = worker.hung_until, self.simulation.gang_peer_s
        wait = self.simulation.gang_rng.uniform(0.3, 0.7) * within

        def notice():
            if (
                worker.hung_for()
                and worker.hung_until == until
                and not self.safe
                and any(w is worker for w, _ in self.members)
            ):
                self.fail(within - wait)

        self.simulation.after(wait, notice)

    def resumes(self):
        self.begin()
        if self.started and not self.broken and not self.over:
            if self.first_stop is not None:
                self.let_go()
            elif self.since is None and not any(w.hung_for() for w, _ in self.members):
                self.go()

    # -- stopping

    def stop(self, worker, key, mark, grace):
        if mark["state"] == "gathering" or self.broken:
            worker.end(key, "halted")
        elif mark["state"] == "flushing":
            if grace <= 0:
                self.lost("ended while it saved")
                worker.end(key, "halted")
        else:
            if self.first_stop is None:
                self.first_stop = self.simulation.now
                self.rest()
                self.simulation.after(self.simulation.gang_peer_s, self.deadline)
            if self.spec["proof_s"] <= 0 or grace < self.spec["flush_s"]:
                self.lost("too little grace")
                worker.end(key, "halted")
                return
            self.told.add(key[0])
            mark["state"] = "flushing"
            self.simulation.after(self.spec["flush_s"], lambda: self.saved(worker, key, mark))

    def saved(self, worker, key, mark):
        if worker.tasks.get(key) is not mark or mark["state"] != "flushing":
            return
        if worker.hung_for():
            self.simulation.after(worker.hung_for() + 0.01, lambda: self.saved(worker, key, mark))
            return
        mark["kept"] = True
        if self.broken:
            worker.end(key, "halted")
        else:
            self.let_go()

    def deadline(self):
        """No task waits longer than this for the others to be told."""
        self.late = True
        if self.broken or self.safe or self.over:
            return
        if len(self.told) == self.spec["pages"]:
            self.let_go()
            return
        self.lost("not all told in time")
        self.fall_back()
        for (worker, key), mark in list(self.members.items()):
            if mark["state"] == "running":
                self.leave(worker, key, mark, "mates_gone")
            elif mark.get("kept"):
                self.leave(worker, key, mark, "halted")

    def let_go(self):
        """Exit with the progress safe, when all are told and have saved or no time is left."""
        if len(self.told) < self.spec["pages"]:
            return
        ready = [m for m in self.members.items() if m[1].get("kept")]
        if ready and (self.late or self.safe or len(ready) == len(self.members)):
            if not self.safe:
                self.safe = True
                self.simulation.progress[self.job_id] = self.progress
            for (worker, key), mark in ready:
                self.leave(worker, key, mark, "halted", saved=True)

    def lost(self, why):
        """The service has thrown progress away that it could have kept."""
        loss = self.progress - self.checkpoint()
        if (
            self.started
            and not (self.broken or self.safe or self.over)
            and loss > 1e-6
            and self.spec["proof_s"] > 0
            and self.job_id not in self.simulation.unwanted
        ):
            self.simulation.lost_saves.append((self.job_id, self.attempt, why, round(loss, 3)))


class Worker:
    """A machine and the tasks on it."""

    def __init__(self, simulation, name, zone, spot, kind=TYPE):
        self.simulation, self.name, self.zone, self.spot = simulation, name, zone, spot
        self.kind = kind
        self.session, self.seq, self.token = 1, 0, 0
        self.tasks = {}
        self.renewed = simulation.now
        self.alive = True
        self.sick = False
        self.notice = None
        self.hung_until = 0.0
        self.speed = 1.0 - 0.1 * random.Random(name).random()
        self.sent = []
        self.node = simulation.rng.randrange(len(simulation.names))
        simulation.after(0.01, self.report)
        self.watch_lease()

    def watch_lease(self):
        if not self.alive:
            return
        # A machine that hangs beyond its lease has lost its tasks all the same.
        self.mind_lease()
        self.simulation.after(max(0.1, self.simulation.deployment.report_s / 10), self.watch_lease)

    def mind_lease(self):
        if self.simulation.now - self.renewed > self.simulation.lease_s:
            self.drop_all()
            self.session += 1
            self.renewed = self.simulation.now

    @property
    def hung(self):
        return self.simulation.now < self.hung_until

    def drop_all(self):
        """All tasks are gone without an exit."""
        dropped, self.tasks = self.tasks, {}
        for key, mark in dropped.items():
            if "gang" in mark and mark["state"] != "exited":
                mark["gang"].gone(self, key, mark)

    def hang(self, seconds):
        """Execute, report and answer nothing for a while."""
        self.hung_until = max(self.hung_until, self.simulation.now + seconds)
        for mark in list(self.tasks.values()):
            mark["late"] = mark.get("late", 0.0) + seconds
            if "gang" in mark:
                mark["gang"].hangs(self)
        self.simulation.after(seconds, self.resume)

    def restart(self, seconds):
        """The process ends with all tasks; a new one of a later session is back after that time."""
        self.drop_all()
        self.session += 1
        self.seq, self.token = 0, 0
        self.hang(seconds)
        self.renewed = self.simulation.now + seconds

    def resume(self):
        if self.alive and not self.hung_for():
            self.mind_lease()
            for mark in list(self.tasks.values()):
                if "gang" in mark:
                    mark["gang"].resumes()

    def hung_for(self):
        left = self.hung_until - self.simulation.now
        return left if left > 1e-6 else 0.0

    def body(self):
        self.seq += 1
        tasks = []
        for (task, attempt), t in self.tasks.items():
            entry = {"page": task, "take": attempt, "status": t["state"]}
            if t["state"] == "exited":
                entry["cause"] = t["why"]
                if t.get("saved"):
                    entry["saved"] = True
            tasks.append(entry)
        return json.dumps(
            {
                "press": self.name,
                "address": self.name,
                "rack": self.kind["name"],
                "hall": self.zone,
                "borrowed": self.spot,
                "shift": self.session,
                "line": self.seq,
                "baton": self.token,
                "recall_s": self.notice,
                "pages": tasks,
            }
        ).encode()

    def report(self):
        if not self.alive:
            return
        if self.hung_for():
            self.simulation.after(self.hung_for() + 0.01, self.report)
            return
        sent, session = self.simulation.now, self.session
        target = self.simulation.names[self.node]
        answered = []

        def reply(status, body):
            if answered or not self.alive:
                return
            if self.hung_for():
                self.simulation.after(self.hung_for() + 0.01, lambda: reply(0, b"{}"))
                return
            answered.append(True)
            if self.simulation.now - sent > 4.0:
                # The worker drops answers that took longer.
                status = 0
            if status == 200:
                answer = json.loads(body)
                if answer["baton"] >= self.token and session == self.session:
                    self.token = answer["baton"]
                    self.renewed = max(self.renewed, sent)
                    self.execute(answer["orders"])
                report_s = self.simulation.deployment.report_s
                pause = report_s * self.simulation.rng.uniform(0.75, 1.25)
                self.simulation.after(pause, self.report)
                return
            hint = json.loads(body).get("editor") if status == 421 else None
            if hint in self.simulation.names and hint != target:
                self.node = self.simulation.names.index(hint)
                self.simulation.after(0.1, self.report)
            else:
                self.node = (self.node + 1) % len(self.simulation.names)
                self.simulation.after(1.0, self.report)

        body = self.body()
        self.sent.append((target, body))
        self.simulation.to_node(self.name, target, body, reply)
        self.simulation.maybe_copied(target, body)
        self.simulation.after(4.0, lambda: reply(0, b"{}"))

    def direct(self, raw, reply):
        if not self.alive:
            return
        if self.hung_for():
            self.simulation.after(self.hung_for() + 0.01, lambda: self.direct(raw, reply))
            return
        order = json.loads(raw)
        if order["baton"] < self.token or order["shift"] != self.session:
            reply(409, self.body())
            return
        self.token = order["baton"]
        self.execute(order["orders"])
        reply(200, self.body())

    def execute(self, orders):
        for order in orders:
            key = (order["page"], order["take"])
            if order["verb"] == "run":
                self.start(key)
            elif order["verb"] == "kill" and key in self.tasks:
                mark = self.tasks[key]
                if "gang" in mark and mark["state"] not in ("pulling", "exited"):
                    mark["gang"].stop(self, key, mark, order.get("windup_s") or 0.0)
                elif mark["state"] != "exited":
                    self.end(key, "halted")
            elif order["verb"] == "clear" and self.tasks.get(key, {}).get("state") == "exited":
                del self.tasks[key]

    def start(self, key):
        if key in self.tasks:
            return
        task, _ = key
        spec = self.simulation.specs.get(task.split("/")[0])
        why = self.simulation.refusals.pop(task, None)
        used = sum(t["cpus"] for t in self.tasks.values() if t["state"] != "exited")
        if why:
            pass
        elif spec is None:
            why = "unknown"
        elif any(other[0] == task for other in self.tasks):
            why = "in_use"
        elif used + spec["cpus"] > self.kind["cpus"] + 1e-6:
            why = "no_room"
        if why:
            self.tasks[key] = {"state": "exited", "why": why, "cpus": 0.0, "saved": False}
            return
        self.tasks[key] = {"state": "pulling", "cpus": spec["cpus"]}
        mark = self.tasks[key]
        if spec["form"] == "ensemble":
            mark["gang"] = self.simulation.gang(task.split("/")[0], key[1])
        fetch_s = self.simulation.fetch_s.get(task, 0.3)
        self.simulation.after(fetch_s, lambda: self.begin(key, mark, spec))

    def begin(self, key, mark, spec):
        if not self.alive or self.tasks.get(key) is not mark or mark["state"] != "pulling":
            return
        if self.held_up(mark, lambda: self.begin(key, mark, spec)):
            return
        if "gang" in mark:
            mark["gang"].join(self, key, mark)
            return
        mark["state"] = "running"
        self.simulation.started(self, key[0], spec)
        wait = 0.2 if self.sick else self.simulation.rng.uniform(0.5, 1.5) * spec["runtime_s"]
        why = "error" if self.sick or spec.get("broken") else "done"

        def over():
            if self.tasks.get(key) is mark and not self.held_up(mark, over):
                self.end(key, why)

        self.simulation.after(wait, over)

    def held_up(self, mark, action):
        """Whether the machine hung meanwhile: then the action is only due that much later."""
        late = mark.pop("late", 0.0)
        if late:
            self.simulation.after(late, action)
        return bool(late)

    def end(self, key, why, saved=False):
        mark = self.tasks[key]
        if self.alive and mark["state"] != "exited":
            mark.update(state="exited", why=why, saved=saved)
            if why == "done":
                self.simulation.completed.add(key[0])
            if "gang" in mark:
                mark["gang"].gone(self, key, mark)

    def on_it(self):
        """The tasks that are on this machine: from the image to the exit."""
        return [
            k[0]
            for k, t in self.tasks.items()
            if t["state"] in ("gathering", "running", "flushing")
        ]

    def in_state(self, state):
        return [k for k, t in self.tasks.items() if t["state"] == state]


class Cloud:
    """Rents machines."""

    def __init__(self, simulation):
        self.simulation = simulation
        self.bookings, self.machines, self.names = {}, {}, itertools.count(1)
        self.offer = list(simulation.deployment.offer)
        self.capacity = dict(simulation.deployment.capacity)
        # Between what bounds the time lies that a machine takes to boot.
        self.boot_s = (6.0, 15.0)

    def handle(self, method, path, body, reply):
        if path == "/machine_types":
            reply(200, json.dumps({"racks": self.offer}).encode())
        elif path == "/rentals" and method == "POST":
            ask = json.loads(body)
            if ask["booking"] not in self.bookings:
                place = (ask["hall"], ask["borrowed"])
                kind = next(kind for kind in self.offer if kind["name"] == ask["rack"])
                count = min(ask["count"], self.left(kind, place))
                if count <= 0:
                    reply(503, b'{"error":"no capacity"}')
                    return
                self.bookings[ask["booking"]] = [self.rent(place, kind) for _ in range(count)]
            reply(200, json.dumps({"presses": self.bookings[ask["booking"]]}).encode())
        elif path == "/rentals/release":
            for name in json.loads(body)["presses"]:
                self.returned(name)
                self.take(name)
            reply(200, b"{}")
        else:
            reply(
                200,
                json.dumps(
                    {
                        "presses": [
                            {
                                "id": n,
                                "address": n,
                                "rack": m["kind"]["name"],
                                "hall": m["place"][0],
                                "borrowed": m["place"][1],
                                "held_s": self.simulation.now - m["at"],
                                "status": "running" if m["worker"] else "starting",
                            }
                            for n, m in sorted(self.machines.items())
                            if self.simulation.now - m["at"] > 3.0
                        ],
                        "truncated": False,
                    }
                ).encode(),
            )

    def left(self, kind, place):
        """How many more machines there are of a type in a place."""
        typed = (kind["name"], *place)
        if typed in self.capacity:
            live = [m for m in self.machines.values() if (m["kind"]["name"], *m["place"]) == typed]
            return self.capacity[typed] - len(live)
        live = [m for m in self.machines.values() if m["place"] == place]
        return self.capacity[place] - len(live)

    def rent(self, place, kind):
        name = f"m-{next(self.names):06d}"
        now = self.simulation.now
        self.machines[name] = {"place": place, "kind": kind, "at": now, "worker": None}
        self.simulation.after(self.simulation.rng.uniform(*self.boot_s), lambda: self.boot(name))
        return name

    def boot(self, name):
        machine = self.machines.get(name)
        if machine:
            machine["worker"] = Worker(self.simulation, name, *machine["place"], machine["kind"])

    def take(self, name):
        machine = self.machines.pop(name, None)
        if machine and machine["worker"]:
            machine["worker"].alive = False
            machine["worker"].drop_all()

    def returned(self, name):
        """The service gives a machine back: a gang that runs there loses progress."""
        machine = self.machines.get(name)
        if machine and machine["worker"]:
            for mark in machine["worker"].tasks.values():
                if "gang" in mark and mark["state"] in ("running", "flushing"):
                    mark["gang"].rest()
                    mark["gang"].lost("machine returned")

    def workers(self):
        return [m["worker"] for m in self.machines.values() if m["worker"]]


class WorkerRequest:
    """A worker's report that waits for its answer."""

    def __init__(self, answer):
        self.answer = answer


class User:
    """One request and its answer."""

    def __init__(self):
        self.status, self.body, self.retry_after = None, None, None
        # The final states that users knew when it was asked.
        self.before = {}
        # The job asked about, if it had been accepted by then.
        self.known = None


class Simulation:
    """The clock, the network and the checks of the rules."""

    def __init__(
        self,
        seed=1,
        nodes=3,
        lease_s=12.0,
        cancel_s=40.0,
        partitioned=False,
        coming=None,
        versions=None,
        gang_wait_s=None,
        gang_peer_s=4.0,
        deployment=TWO_TEAMS,
    ):
        self.deployment = deployment
        # The limits that the settings announce; the older version that a member's next process
        # runs (`tests/production.py`), by name; and those of the processes there are.
        self.coming, self.versions = coming, versions if versions is not None else {}
        self.mixed, self.running = versions is not None, {}
        # Below a bound on guarantees for each core all teams have one owner.
        self.cores = 0.01 if partitioned else 1.0
        self.rng = random.Random(seed)
        self.now, self.queue, self.order = 100.0, [], itertools.count()
        self.lease_s, self.cancel_s = lease_s, cancel_s
        self.gang_wait_s, self.gang_peer_s = gang_wait_s or 3.5 * lease_s, gang_peer_s
        # Gangs by job and attempt; of their jobs the true length and the saved progress.
        self.gangs, self.lengths, self.progress = {}, {}, {}
        self.gang_rng = random.Random(seed + 7777)
        # Gangs of which a task gave up, seconds that members waited, progress thrown away,
        # jobs whose users asked to cancel; tasks whose images come slower or whose next start
        # is refused.
        self.alone, self.waited, self.lost_saves = set(), 0.0, []
        self.unwanted, self.fetch_s, self.refusals = set(), {}, {}
        self.names = [f"n{i}" for i in range(nodes)]
        self.state, self.cloud = State(self, deployment), Cloud(self)
        self.specs, self.completed, self.cancelled = {}, set(), {}
        self.told, self.broken = {}, []
        self.told_by = {name: {} for name in self.names}
        self.nodes, self.life = {}, dict.fromkeys(self.names, 0)
        self.cuts, self.held, self.deaf = set(), [], set()
        # When the latest frame between two controllers arrives, if their order is kept.
        self.arrivals = {}
        # Whom the state service refuses alone, and whose watches and lists get no answer.
        self.refused, self.stuck = set(), set()
        # Machines that reach no controller, while direct commands reach them.
        self.mute = set()
        # Shares of transactions carried out late without an answer, and of reports copied late.
        self.late_writes = self.late_reports = 0.0
        # Shares of transactions whose answer alone is lost, and of direct commands that are carried
        # out seconds late without an answer.
        self.lost_answers = self.late_commands = 0.0
        # When jobs were first submitted and first began; how long after the confirmation of a
        # cancellation tasks still began.
        self.submitted, self.first_start, self.late_starts = {}, {}, []
        # How long a message takes, and an answer of the state service beyond that.
        self.lag, self.slow_state = (0.001, 0.02), 0.0
        self.waits = {}
        self.starts = 0
        for name in self.names:
            self.boot(name)

    # -- time and network

    def after(self, delay, action):
        heapq.heappush(self.queue, (self.now + delay, next(self.order), action))

    def run(self, seconds):
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            at, _, action = heapq.heappop(self.queue)
            self.now = max(self.now, at)
            action()
        self.now = end

    def run_until(self, wanted, seconds=60.0):
        end = self.now + seconds
        while not wanted() and self.now < end:
            self.run(0.1)
        assert wanted(), "did not happen in time"

    def cut(self, a, b):
        self.cuts.add(frozenset((a, b)))

    def heal(self):
        """End all cuts; what was held back arrives now, however late."""
        self.cuts.clear()
        held, self.held = self.held, []
        for action in held:
            self.after(self.rng.uniform(0.0, 0.5), action)

    def carry(self, a, b, action, back=False):
        if b in self.deaf and (back or a in self.names):
            return
        if frozenset((a, b)) in self.cuts:
            if self.rng.random() < 0.7:
                self.held.append(action)
            return
        self.after(self.rng.uniform(*self.lag), action)

    def carry_frame(self, sender, member, action):
        """As `carry`, but what is sent later arrives later where links keep their order."""
        if not self.deployment.ordered_links or frozenset((sender, member)) in self.cuts:
            self.carry(sender, member, action)
            return
        at = max(self.now + self.rng.uniform(*self.lag), self.arrivals.get((sender, member), 0.0))
        self.arrivals[sender, member] = at
        self.after(at - self.now, action)

    def isolate(self, name):
        """Cut a controller from the state service and the other controllers alone."""
        self.refused.add(name)
        for other in self.names:
            if other != name:
                self.cut(name, other)

    def outage(self, seconds):
        """The state service is out; afterwards every lease has its full time again."""
        self.state.down = True
        self.run(seconds)
        self.outage_over()

    def outage_over(self):
        self.state.down = False
        for lease, (_, ttl) in self.state.leases.items():
            self.state.leases[lease] = (self.now + ttl, ttl)
        self.state.wake()

    def calm(self):
        """End all troubles."""
        self.heal()
        self.deaf, self.mute, self.refused = set(), set(), set()
        self.late_writes = self.late_reports = self.slow_state = 0.0
        self.lost_answers = self.late_commands = 0.0
        self.lag = (0.001, 0.02)

    # -- controllers

    def boot(self, name):
        self.life[name] += 1
        index = self.names.index(name)
        raw = raw_settings(
            index,
            len(self.names),
            self.lease_s,
            self.cancel_s,
            self.cores,
            self.coming,
            self.gang_wait_s,
            self.gang_peer_s,
            self.deployment,
        )
        seed, version = self.rng.getrandbits(32), self.versions.get(name)
        self.running[name] = version
        if version is not None:
            self.nodes[name] = version.node(raw, seed, self.now)
        else:
            self.nodes[name] = Node(settings_module.parse(raw), seed, self.now, day=1000.0)
        self.tick(name, self.life[name])

    def crash(self, name, back_after=2.0):
        self.nodes.pop(name, None)
        self.life[name] += 1
        life = self.life[name]
        self.after(back_after, lambda: self.life[name] == life and self.boot(name))

    def tick(self, name, life):
        if self.life[name] == life and name in self.nodes:
            self.nodes[name].tick(self.now)
            self.drain(name)
            self.after(0.05, lambda: self.tick(name, life))

    def copy(self, name, body):
        """A late copy of a report: nobody waits for the answer."""
        if name in self.nodes:
            self.nodes[name].report(self.now, WorkerRequest(lambda status, body: None), body)
            self.drain(name)

    def maybe_copied(self, name, body):
        """A copy of a report may come again, from seconds to well over a lease later."""
        if self.late_reports and self.rng.random() < self.late_reports:
            self.after(self.rng.uniform(2.0, 2.5 * self.lease_s), lambda: self.copy(name, body))

    def to_node(self, sender, name, body, reply):
        if sender in self.mute:
            self.after(0.5, lambda: reply(0, b"{}"))
            return

        def arrive():
            node = self.nodes.get(name)
            if node is None:
                reply(0, b"{}")
                return
            asker = WorkerRequest(
                lambda status, body: self.carry(
                    name, sender, lambda: reply(status, body), back=True
                )
            )
            node.report(self.now, asker, body)
            self.drain(name)

        self.carry(sender, name, arrive)

    def fleet(self):
        """The fleet's records that count: the one record while it exists, else the pages."""
        data = self.state.data
        keys = ["c/fleet"] if "c/fleet" in data else [k for k in data if k.startswith("c/fleet/")]
        return [data[key][0] for key in keys]

    def drain(self, name):
        node, life = self.nodes.get(name), self.life[name]
        if node is None:
            return
        out = node.out
        out.logs.clear()
        for reply in out.replies:
            user = reply.request
            if isinstance(user, WorkerRequest):
                user.answer(reply.status, reply.body)
                continue
            user.status, user.retry_after = reply.status, reply.retry_after
            user.body = json.loads(reply.body)
            self.check_answer(user, name)
        out.replies.clear()
        frames, out.frames = out.frames, []
        codec = self.running[name].peer if self.running[name] else peer
        for member, frame in frames:
            # Versions meet as bytes; among equals the way there and back changes nothing.
            sent = codec.pack(frame) if self.mixed else frame
            self.carry_frame(name, member, lambda m=member, f=sent: self.frame(name, m, f))
        calls, out.calls = out.calls, []
        for call in calls:
            self.send(name, life, call)

    def frame(self, sender, member, frame):
        node = self.nodes.get(member)
        if node:
            codec = self.running[member].peer if self.running[member] else peer
            frames = codec.Unpacker().feed(frame) if self.mixed else [frame]
            for one in frames:
                node.received(self.now, sender, one)
            self.drain(member)

    def send(self, name, life, call):
        over = []

        def finish(status, body):
            if over:
                return
            over.append(True)
            if self.life[name] == life and name in self.nodes:
                call.then(self.now, Outcome(status, body))
                self.drain(name)

        def reply(status, body):
            self.carry(name, call.address or call.service, lambda: finish(status, body))

        def arrive():
            if call.service == "state":
                if name in self.refused:
                    reply(503, b"{}")
                elif (
                    call.path == "/multi"
                    and self.late_writes
                    and (self.rng.random() < self.late_writes)
                ):
                    # No answer, and carried out late, after newer ones.
                    self.after(
                        self.rng.uniform(2.0, 12.0),
                        lambda: self.state.handle(
                            call.method, call.path, call.body, lambda status, body: None
                        ),
                    )
                elif (
                    call.path == "/multi"
                    and self.lost_answers
                    and (self.rng.random() < self.lost_answers)
                ):
                    # Carried out at once, and only the answer is lost.
                    self.state.handle(call.method, call.path, call.body, lambda status, body: None)
                elif self.slow_state:
                    self.after(
                        self.rng.uniform(0.0, self.slow_state),
                        lambda: self.state.handle(call.method, call.path, call.body, reply),
                    )
                else:
                    if name in self.stuck and call.path.startswith(("/follow", "/kv?")):
                        return
                    self.state.handle(call.method, call.path, call.body, reply, name)
            elif call.service == "cloud":
                self.cloud.handle(call.method, call.path, call.body, reply)
            elif self.late_commands and self.rng.random() < self.late_commands:
                self.after(
                    self.rng.uniform(2.0, 16.0),
                    lambda: self.command(call, lambda status, body: None),
                )
            else:
                self.command(call, reply)

        self.carry(name, call.address or call.service, arrive)
        self.after(call.timeout, lambda: finish(0, b""))

    def command(self, call, reply):
        for worker in self.cloud.workers():
            if worker.name == call.address:
                worker.direct(call.body, reply)

    def leader(self):
        leading = [n for n, node in self.nodes.items() if node.authority.entitled(self.now)]
        assert len(leading) <= 1, f"two authorities: {leading}"
        return leading[0] if leading else None

    # -- users

    def ask(self, action, name=None, job_id=None):
        name = name or self.rng.choice(sorted(self.nodes))
        user = User()
        user.known = job_id if job_id in self.told else None
        user.before = {j: s for j, s in self.told.items() if s in (wire.DONE, wire.CANCELLED)}
        action(self.nodes[name].user_api, user)
        self.drain(name)
        return user

    def submit(self, spec, name=None):
        self.specs[spec["id"]] = spec
        self.submitted.setdefault(spec["id"], self.now)
        return self.ask(
            lambda user_api, user: user_api.submit(self.now, user, json.dumps(spec).encode()),
            name,
            spec["id"],
        )

    def poll(self, job_id, name=None):
        return self.ask(lambda user_api, user: user_api.poll(self.now, user, job_id), name, job_id)

    def cancel(self, job_id, name=None):
        self.unwanted.add(job_id)
        return self.ask(
            lambda user_api, user: user_api.cancel(self.now, user, job_id), name, job_id
        )

    def gang(self, job_id, attempt):
        if (job_id, attempt) not in self.gangs:
            self.gangs[job_id, attempt] = Gang(self, job_id, attempt)
        return self.gangs[job_id, attempt]

    # -- the rules

    def check_answer(self, user, name):
        if user.known is not None and user.status in (400, 404, 422):
            self.broken.append(f"forgotten: {user.known} {user.status}")
        if user.status not in (200, 201) or "id" not in user.body:
            return
        job_id, status = user.body["id"], user.body["status"]
        # Told by anybody before this was asked, or by the same node before this was answered. Of
        # two questions that overlap at two nodes, the one read first may be answered last.
        for before in (user.before.get(job_id), self.told_by[name].get(job_id)):
            if before in (wire.DONE, wire.CANCELLED) and status != before:
                self.broken.append(f"went_back: {job_id} {before} -> {status}")
        self.told_by[name][job_id] = status
        if status == wire.DONE:
            spec = self.specs[job_id]
            if any(f"{job_id}/{i}" not in self.completed for i in range(spec["pages"])):
                self.broken.append(f"not_done: {job_id}")
        if status == wire.CANCELLED:
            self.cancelled.setdefault(job_id, self.now)
        if self.told.get(job_id) not in (wire.DONE, wire.CANCELLED):
            self.told[job_id] = status

    def started(self, worker, task, spec):
        self.starts += 1
        job_id = task.split("/")[0]
        self.first_start.setdefault(job_id, self.now)
        for other in self.cloud.workers():
            if other is not worker and other.alive and task in other.on_it():
                self.broken.append(f"ran_twice: {task}")
        team = spec["desk"]
        used = sum(
            self.specs[t.split("/")[0]]["cpus"]
            for w in self.cloud.workers()
            for t in w.on_it()
            if self.specs[t.split("/")[0]]["desk"] == team
        )
        limit = self.deployment.limit(team)
        if used > limit + 1e-6:
            self.broken.append(f"quota: {team} {used}")
        if worker.kind["name"] not in (spec.get("racks") or [worker.kind["name"]]):
            self.broken.append(f"wrong_place: {task}")
        if worker.spot and not spec["borrowed"]:
            self.broken.append(f"wrong_place: {task}")
        if spec.get("hall") not in (None, worker.zone):
            self.broken.append(f"wrong_place: {task}")
        zones = [
            w.zone for w in self.cloud.workers() for t in w.on_it() if t.split("/")[0] == job_id
        ]
        if spec["same_place"] and len(set(zones)) > 1:
            self.broken.append(f"wrong_place: {task} {zones}")
        if spec["spread"] and zones.count(worker.zone) > (spec["pages"] + 1) // 2:
            self.broken.append(f"wrong_place: {task} {zones}")
        told = self.cancelled.get(job_id)
        if told is not None:
            self.late_starts.append(self.now - told)
            if self.now - told > self.cancel_s:
                self.broken.append(f"ran_cancelled: {task}")

    def wrote(self, writes):
        """A change of the state service; stories may look at it."""

    def check_sums(self):
        """What owners keep up as they go must equal a count from the beginning."""
        for node in self.nodes.values():
            for owner in node.schedulers:
                for team in owner.by_team:
                    active = [
                        p
                        for m in owner.machines.values()
                        for p in m.tasks.values()
                        if p.active and p.team == team
                    ]
                    counted = sum(p.cpus for p in active), sum(p.gpus for p in active)
                    kept = owner.tally.of(team)
                    assert all(abs(a - b) < 1e-6 for a, b in zip(kept, counted, strict=True))
                unidentified = {
                    m.name
                    for m in owner.machines.values()
                    for p in m.tasks.values()
                    if p.active and p.team == UNIDENTIFIED
                }
                assert owner.tally.unidentified == unidentified
                assert owner.unsettled <= set(owner.machines)

    def check_owners(self):
        """No pool has two members that may command its machines, whoever leads or has led."""
        owned = [
            (o.pool, n)
            for n, node in self.nodes.items()
            for o in node.schedulers
            if node.grant_client.entitled(self.now)
        ]
        assert len({pool for pool, _ in owned}) == len(owned), f"two owners: {owned}"

    def check_starved(self, bound=90.0):
        """To be called about once a second without troubles: who waits beside room that fits?"""
        on = {}
        used = dict.fromkeys(self.deployment.team_names, 0.0)
        for worker in self.cloud.workers():
            for (task, _), t in worker.tasks.items():
                if t["state"] != "exited":
                    on.setdefault(task.split("/")[0], []).append(worker.zone)
                    used[self.specs[task.split("/")[0]]["desk"]] += t["cpus"]
        for job_id in sorted(self.told):
            spec = self.specs[job_id]
            ended = all(f"{job_id}/{i}" in self.completed for i in range(spec["pages"]))
            limit = self.deployment.limit(spec["desk"])
            fits = used[spec["desk"]] + spec["cpus"] <= limit and any(
                w.alive
                and sum(t["cpus"] for t in w.tasks.values() if t["state"] != "exited")
                + spec["cpus"]
                <= w.kind["cpus"]
                and (spec["borrowed"] or not w.spot)
                and spec["hall"] in (None, w.zone)
                and w.notice is None
                for w in self.cloud.workers()
            )
            if ended or job_id in self.cancelled or job_id in on or not fits:
                self.waits.pop(job_id, None)
            elif self.now - self.waits.setdefault(job_id, self.now) > bound:
                self.broken.append(f"starved: {job_id}")

    def check_known(self):
        """Every accepted uncancelled job is answered for, and none is forgotten or called less."""
        accepted = sorted(j for j in self.told if j not in self.cancelled)
        polls = {j: self.poll(j) for j in accepted}
        self.run(3.0)
        self.broken += [f"forgotten: {j}" for j, p in polls.items() if p.status != 200]

    def finish(self, seconds=300.0, known_after=75.0):
        """End all troubles, and see that every accepted job that wasn't cancelled is done."""
        self.calm()
        end, asked = self.now + seconds, self.now + known_after
        while self.now < end:
            self.run(1.0)
            self.leader()
            self.check_starved()
            self.check_cancelled()
            if asked and self.now >= asked:
                self.check_known()
                asked = 0.0
            left = [
                j
                for j in self.told
                if j not in self.cancelled and f"d/job/{j}" not in self.state.data
            ]
            if not left:
                break
        self.check_known()
        self.check_sums()
        assert not self.broken, self.broken
        assert not left, [self.specs[j] for j in left]

    def check_cancelled(self):
        for worker in self.cloud.workers():
            for task in worker.on_it():
                told = self.cancelled.get(task.split("/")[0])
                if told is not None and self.now - told > self.cancel_s:
                    self.broken.append(f"ran_cancelled: {task} still there")

    def check_served(self, within=240.0, age_s=None):
        """At least half of each class and team is done, and of a class's largest begun in time.

        Only jobs count that weren't cancelled and came longer than `age_s` ago, as a rule `within`.
        """
        age_s = within if age_s is None else age_s
        groups = {}
        counted = [
            self.specs[j]
            for j in sorted(self.told)
            if j not in self.cancelled and self.now - self.submitted[j] > age_s
        ]
        largest = {}
        for spec in counted:
            largest[spec["slot"]] = max(spec["cpus"], largest.get(spec["slot"], 0.0))
        for spec in counted:
            job_id = spec["id"]
            done = all(f"{job_id}/{i}" in self.completed for i in range(spec["pages"]))
            groups.setdefault(("class", spec["slot"]), []).append(done)
            groups.setdefault(("team", spec["desk"]), []).append(done)
            if spec["cpus"] == largest[spec["slot"]]:
                begun = self.first_start.get(job_id, float("inf")) - self.submitted[job_id]
                groups.setdefault(("largest of", spec["slot"]), []).append(begun <= within)
        shares = {group: sum(served) / len(served) for group, served in groups.items()}
        poor = {group: share for group, share in shares.items() if share < 0.5}
        if poor:
            self.broken.append(f"unserved: {poor}")
        return shares

    def gang_fits(self, spec):
        """Whether there is room for all tasks of a gang now, under its team's limit."""
        used, room = 0.0, {}
        for worker in self.cloud.workers():
            on_it = [
                key[0].split("/")[0] for key, t in worker.tasks.items() if t["state"] != "exited"
            ]
            used += sum(
                self.specs[j]["cpus"] for j in on_it if self.specs[j]["desk"] == spec["desk"]
            )
            allowed = spec["borrowed"] or not worker.spot
            if worker.alive and allowed and spec["hall"] in (None, worker.zone):
                free = worker.kind["cpus"] - sum(self.specs[j]["cpus"] for j in on_it)
                slots = int((free + 1e-6) / spec["cpus"]) if worker.notice is None else 0
                room[worker.zone] = room.get(worker.zone, 0) + slots
        if used + spec["cpus"] * spec["pages"] > self.deployment.limit(spec["desk"]):
            return False
        if spec["same_place"]:
            return max(room.values(), default=0) >= spec["pages"]
        most = (spec["pages"] + 1) // 2 if spec["spread"] else spec["pages"]
        return sum(min(most, slots) for slots in room.values()) >= spec["pages"]

    def check_gangs_starved(self, waits, bound=90.0):
        """As `check_starved`, for whole gangs; `waits`: since when each waits beside room."""
        placed = {
            key[0].split("/")[0]
            for worker in self.cloud.workers()
            for key, t in worker.tasks.items()
            if t["state"] != "exited"
        }
        for job_id in sorted(self.told):
            spec = self.specs[job_id]
            over = f"{job_id}/0" in self.completed or job_id in self.cancelled
            if spec["form"] != "ensemble" or over or job_id in placed or not self.gang_fits(spec):
                waits.pop(job_id, None)
            elif self.now - waits.setdefault(job_id, self.now) > bound:
                self.broken.append(f"starved: {job_id}")
