"""Liveness checks: once all faults have ended, jobs start and complete in time."""

from __future__ import annotations

from tests.simulation.users import Users


class ServiceChecks(Users):
    """Checks that no job waiting_since while capacity fits it, and that accepted jobs complete."""

    def check_starvation(self, bound=90.0):
        """Record jobs that waited longer than `bound` seconds although a machine had room.

        Call it about once a second, with no fault active.
        """
        placed_jobs = set()
        # For each (zone, spot, CPUs) of machines that accept tasks: the CPUs in use on the least
        # used machine. A task that fits on any machine of that group fits on this one.
        least_used = {}
        used = dict.fromkeys(self.deployment.team_names, 0.0)
        for worker in self.cloud.workers():
            used_here = 0.0
            for (task, _), record in worker.tasks.items():
                if record["state"] != "exited":
                    placed_jobs.add(task.split("/")[0])
                    used[self.specs[task.split("/")[0]]["desk"]] += record["cpus"]
                    used_here += record["cpus"]
            if worker.alive and worker.reclaim_notice_s is None:
                group = (worker.zone, worker.spot, worker.machine_type["cpus"])
                least_used[group] = min(used_here, least_used.get(group, used_here))
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
            if ended or job_id in self.cancelled or job_id in placed_jobs or not fits:
                self.waiting_since.pop(job_id, None)
            elif self.now - self.waiting_since.setdefault(job_id, self.now) > bound:
                self.violations.append(f"starved: {job_id}")

    def check_accepted_jobs_known(self):
        """Poll each accepted job that isn't cancelled: none may be unknown or go back in state."""
        accepted = sorted(j for j in self.acknowledged if j not in self.cancelled)
        polls = {job_id: self.poll(job_id) for job_id in accepted}
        self.run(3.0)
        self.violations += [
            f"forgotten: {job_id}" for job_id, poll in polls.items() if poll.status != 200
        ]

    def finish(self, seconds=300.0, known_check_after_s=75.0):
        """End all faults and check that each accepted, uncancelled job completes in time."""
        self.end_faults()
        end, known_check_at = self.now + seconds, self.now + known_check_after_s
        while self.now < end:
            self.run(1.0)
            self.leader()
            self.check_starvation()
            self.check_cancelled()
            if known_check_at and self.now >= known_check_at:
                self.check_accepted_jobs_known()
                known_check_at = 0.0
            unfinished = [
                j
                for j in self.acknowledged
                if j not in self.cancelled and f"d/job/{j}" not in self.kvstore.data
            ]
            if not unfinished:
                break
        self.check_accepted_jobs_known()
        self.check_derived_state()
        assert not self.violations, self.violations
        assert not unfinished, [self.specs[j] for j in unfinished]

    def check_service_levels(self, within=240.0, age_s=None):
        """Check per class and team that at least half of the jobs are done; return the shares.

        Of each class's jobs with the most CPUs, at least half must have started within `within`
        seconds. Counts jobs submitted more than `age_s` seconds ago (default: `within`) and not
        cancelled.
        """
        age_s = within if age_s is None else age_s
        groups = {}
        counted = [
            self.specs[j]
            for j in sorted(self.acknowledged)
            if j not in self.cancelled and self.now - self.submitted[j] > age_s
        ]
        most_cpus = {}
        for spec in counted:
            most_cpus[spec["slot"]] = max(spec["cpus"], most_cpus.get(spec["slot"], 0.0))
        for spec in counted:
            job_id = spec["id"]
            done = all(f"{job_id}/{i}" in self.completed for i in range(spec["pages"]))
            groups.setdefault(("class", spec["slot"]), []).append(done)
            groups.setdefault(("team", spec["desk"]), []).append(done)
            if spec["cpus"] == most_cpus[spec["slot"]]:
                started_in_s = self.first_start.get(job_id, float("inf")) - self.submitted[job_id]
                groups.setdefault(("largest of", spec["slot"]), []).append(started_in_s <= within)
        shares = {group: sum(outcomes) / len(outcomes) for group, outcomes in groups.items()}
        underserved = {group: share for group, share in shares.items() if share < 0.5}
        if underserved:
            self.violations.append(f"unserved: {underserved}")
        return shares

    def gang_fits(self, spec):
        """Whether the machines and the team's CPU limit now have room for all tasks of a gang."""
        used, slots_by_zone = 0.0, {}
        for worker in self.cloud.workers():
            job_ids = [
                key[0].split("/")[0]
                for key, record in worker.tasks.items()
                if record["state"] != "exited"
            ]
            used += sum(
                self.specs[j]["cpus"] for j in job_ids if self.specs[j]["desk"] == spec["desk"]
            )
            allowed = spec["borrowed"] or not worker.spot
            if worker.alive and allowed and spec["hall"] in (None, worker.zone):
                free = worker.machine_type["cpus"] - sum(self.specs[j]["cpus"] for j in job_ids)
                slots = int((free + 1e-6) / spec["cpus"]) if worker.reclaim_notice_s is None else 0
                slots_by_zone[worker.zone] = slots_by_zone.get(worker.zone, 0) + slots
        if used + spec["cpus"] * spec["pages"] > self.deployment.cpu_limit(spec["desk"]):
            return False
        if spec["same_place"]:
            return max(slots_by_zone.values(), default=0) >= spec["pages"]
        most_per_zone = (spec["pages"] + 1) // 2 if spec["spread"] else spec["pages"]
        return sum(min(most_per_zone, slots) for slots in slots_by_zone.values()) >= spec["pages"]

    def check_gang_starvation(self, waiting_since, bound=90.0):
        """Like `check_starvation`, for whole gangs.

        `waiting_since` is kept by the caller between calls: the time since which each gang has
        waited although there was room for it.
        """
        placed_jobs = {
            key[0].split("/")[0]
            for worker in self.cloud.workers()
            for key, record in worker.tasks.items()
            if record["state"] != "exited"
        }
        for job_id in sorted(self.acknowledged):
            spec = self.specs[job_id]
            ended = f"{job_id}/0" in self.completed or job_id in self.cancelled
            if (
                spec["form"] != "ensemble"
                or ended
                or job_id in placed_jobs
                or not self.gang_fits(spec)
            ):
                waiting_since.pop(job_id, None)
            elif self.now - waiting_since.setdefault(job_id, self.now) > bound:
                self.violations.append(f"starved: {job_id}")
