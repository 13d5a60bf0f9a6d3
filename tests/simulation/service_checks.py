"""What users may expect once the failures are over: jobs start and complete in time."""

from __future__ import annotations

from tests.simulation.users import Users


class ServiceChecks(Users):
    """No job waits beside capacity that fits it, and every accepted job is completed."""

    def check_starvation(self, bound=90.0):
        """To be called about once a second without faults: who waits beside room that fits?"""
        on = set()
        # Of the machines that take work, by what a job may ask of them: the CPUs in use on the one
        # with the least. If a task fits on any of these, it fits on that one.
        least_used = {}
        used = dict.fromkeys(self.deployment.team_names, 0.0)
        for worker in self.cloud.workers():
            used_here = 0.0
            for (task, _), t in worker.tasks.items():
                if t["state"] != "exited":
                    on.add(task.split("/")[0])
                    used[self.specs[task.split("/")[0]]["desk"]] += t["cpus"]
                    used_here += t["cpus"]
            if worker.alive and worker.reclaim_notice_s is None:
                place = (worker.zone, worker.spot, worker.machine_type["cpus"])
                least_used[place] = min(used_here, least_used.get(place, used_here))
        for job_id in sorted(self.acknowledged):
            spec = self.specs[job_id]
            ended = all(f"{job_id}/{i}" in self.completed for i in range(spec["pages"]))
            limit = self.deployment.cpu_limit(spec["desk"])
            fits = used[spec["desk"]] + spec["cpus"] <= limit and any(
                used_here + spec["cpus"] <= cpus
                and (spec["borrowed"] or not spot)
                and spec["hall"] in (None, zone)
                for (zone, spot, cpus), used_here in least_used.items()
            )
            if ended or job_id in self.cancelled or job_id in on or not fits:
                self.waiting_since.pop(job_id, None)
            elif self.now - self.waiting_since.setdefault(job_id, self.now) > bound:
                self.violations.append(f"starved: {job_id}")

    def check_accepted_jobs_known(self):
        """Every accepted uncancelled job is answered for, and none is forgotten or called less."""
        accepted = sorted(j for j in self.acknowledged if j not in self.cancelled)
        polls = {j: self.poll(j) for j in accepted}
        self.run(3.0)
        self.violations += [f"forgotten: {j}" for j, p in polls.items() if p.status != 200]

    def finish(self, seconds=300.0, known_after=75.0):
        """End all faults, and see that every accepted job that wasn't cancelled is done."""
        self.end_faults()
        end, asked = self.now + seconds, self.now + known_after
        while self.now < end:
            self.run(1.0)
            self.leader()
            self.check_starvation()
            self.check_cancelled()
            if asked and self.now >= asked:
                self.check_accepted_jobs_known()
                asked = 0.0
            left = [
                j
                for j in self.acknowledged
                if j not in self.cancelled and f"d/job/{j}" not in self.kvstore.data
            ]
            if not left:
                break
        self.check_accepted_jobs_known()
        self.check_derived_state()
        assert not self.violations, self.violations
        assert not left, [self.specs[j] for j in left]

    def check_service_levels(self, within=240.0, age_s=None):
        """At least half of each class and team is done, and the largest of a class start in time.

        Only jobs count that weren't cancelled and came longer than `age_s` ago, as a rule `within`.
        """
        age_s = within if age_s is None else age_s
        groups = {}
        counted = [
            self.specs[j]
            for j in sorted(self.acknowledged)
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
                started_in_s = self.first_start.get(job_id, float("inf")) - self.submitted[job_id]
                groups.setdefault(("largest of", spec["slot"]), []).append(started_in_s <= within)
        shares = {group: sum(served) / len(served) for group, served in groups.items()}
        poor = {group: share for group, share in shares.items() if share < 0.5}
        if poor:
            self.violations.append(f"unserved: {poor}")
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
                free = worker.machine_type["cpus"] - sum(self.specs[j]["cpus"] for j in on_it)
                slots = int((free + 1e-6) / spec["cpus"]) if worker.reclaim_notice_s is None else 0
                room[worker.zone] = room.get(worker.zone, 0) + slots
        if used + spec["cpus"] * spec["pages"] > self.deployment.cpu_limit(spec["desk"]):
            return False
        if spec["same_place"]:
            return max(room.values(), default=0) >= spec["pages"]
        most = (spec["pages"] + 1) // 2 if spec["spread"] else spec["pages"]
        return sum(min(most, slots) for slots in room.values()) >= spec["pages"]

    def check_gang_starvation(self, waits, bound=90.0):
        """As `check_starved`, for whole gangs; `waits`: since when each waits beside room."""
        placed = {
            key[0].split("/")[0]
            for worker in self.cloud.workers()
            for key, t in worker.tasks.items()
            if t["state"] != "exited"
        }
        for job_id in sorted(self.acknowledged):
            spec = self.specs[job_id]
            over = f"{job_id}/0" in self.completed or job_id in self.cancelled
            if spec["form"] != "ensemble" or over or job_id in placed or not self.gang_fits(spec):
                waits.pop(job_id, None)
            elif self.now - waits.setdefault(job_id, self.now) > bound:
                self.violations.append(f"starved: {job_id}")
