"""The controllers among stand-ins of the outside systems: all in memory, one clock.

Messages take time, can be held, lost or delivered late; processes can be cut
off, crash and come back. The rules of the protocol are checked as it runs.
"""

from __future__ import annotations

import heapq
import itertools
import json
import random

from copperpass import settings as settings_module
from copperpass.core.node.node import Node
from copperpass.core.ports import CallOutcome
from copperpass.core.scheduling.machines import UNIDENTIFIED
from copperpass.protocol.frames.codec import encode_frame
from copperpass.protocol.frames.stream import FrameDecoder
from copperpass.protocol.users import JobState
from tests.bodies import raw_settings
from tests.deployments import TWO_TEAMS
from tests.production import shard_of
from tests.standins.cloud import Cloud
from tests.standins.gang import Gang
from tests.standins.state import State
from tests.standins.worker import WorkerRequest


class CurrentFrames:
    """Frames as this version writes and reads them."""

    encode_frame = staticmethod(encode_frame)
    frame_decoder = FrameDecoder


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
        on_output=None,
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
        # Called with what leaves a controller: when, its name, the kind of output and its parts.
        self.on_output = on_output or (lambda now, name, kind, *parts: None)
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
            self.on_output(self.now, name, "reply", reply.status, reply.body, reply.retry_after)
            user = reply.request
            if isinstance(user, WorkerRequest):
                user.answer(reply.status, reply.body)
                continue
            user.status, user.retry_after = reply.status, reply.retry_after
            user.body = json.loads(reply.body)
            self.check_answer(user, name)
        out.replies.clear()
        frames, out.frames = out.frames, []
        codec = self.running[name] or CurrentFrames
        for member, frame in frames:
            # Versions meet as bytes; among equals the way there and back changes nothing.
            sent = codec.encode_frame(frame) if self.mixed else frame
            self.on_output(self.now, name, "frame", member, codec.encode_frame(frame))
            self.carry_frame(name, member, lambda m=member, f=sent: self.frame(name, m, f))
        calls, out.calls = out.calls, []
        for call in calls:
            self.on_output(
                self.now,
                name,
                call.service,
                call.address,
                call.method,
                call.path,
                call.body,
                call.timeout,
            )
            self.send(name, life, call)

    def frame(self, sender, member, frame):
        node = self.nodes.get(member)
        if node:
            codec = self.running[member] or CurrentFrames
            frames = codec.frame_decoder().feed(frame) if self.mixed else [frame]
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
                call.then(self.now, CallOutcome(status, body))
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
        user.before = {
            j: s for j, s in self.told.items() if s in (JobState.DONE, JobState.CANCELLED)
        }
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
            if before in (JobState.DONE, JobState.CANCELLED) and status != before:
                self.broken.append(f"went_back: {job_id} {before} -> {status}")
        self.told_by[name][job_id] = status
        if status == JobState.DONE:
            spec = self.specs[job_id]
            if any(f"{job_id}/{i}" not in self.completed for i in range(spec["pages"])):
                self.broken.append(f"not_done: {job_id}")
        if status == JobState.CANCELLED:
            self.cancelled.setdefault(job_id, self.now)
        if self.told.get(job_id) not in (JobState.DONE, JobState.CANCELLED):
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
        """No shard has two members that may command its machines, whoever leads or has led."""
        owned = [
            (shard_of(o), n)
            for n, node in self.nodes.items()
            for o in node.schedulers
            if node.grant_client.entitled(self.now)
        ]
        assert len({shard for shard, _ in owned}) == len(owned), f"two owners: {owned}"

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
