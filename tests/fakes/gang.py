"""An attempt of a gang on the workers: what its tasks exchange."""

from __future__ import annotations

import functools


class Gang:
    """The tasks of one attempt of a gang, and what they know of each other.

    A task is a member from the moment it has its image until it is gone.
    """

    def __init__(self, simulation, job_id, attempt):
        self.simulation, self.job_id, self.attempt = simulation, job_id, attempt
        self.spec = simulation.specs[job_id]
        self.members = {}  # (worker, key of the task) -> what the worker notes of it
        self.started = self.broken = self.progress_saved = self.completed = (
            self.stop_deadline_passed
        ) = False
        self.progress, self.progressing_since, self.speed, self.progress_timer = 0.0, None, 1.0, 0
        self.first_stop_at, self.stop_requested = None, set()

    # -- waiting

    def join(self, worker, key, mark):
        mark.update(state="gathering", at=self.simulation.now)
        self.members[worker, key] = mark
        self.simulation.task_index.add(worker, key)
        self.simulation.on_task_started(worker, key[0], self.spec)
        others = [
            g
            for (j, a), g in self.simulation.gangs.items()
            if j == self.job_id and a != self.attempt and g.members
        ]
        if others:
            self.simulation.violations.append(f"two_attempts: {key} beside {others[0].attempt}")
        if key[0] in self.simulation.completed:
            worker.end_task(key, "done")
            return
        if worker.fails_tasks or self.spec.get("broken"):
            self.simulation.after(0.2, lambda: self.leave(worker, key, mark, "error"))
        self.simulation.after(
            self.simulation.gang_wait_s, lambda: self.leave(worker, key, mark, "alone", "gathering")
        )
        self.begin()

    def begin(self):
        """Start together, once every task has its image and executes."""
        ready = {
            key[0] for (worker, key), _ in self.members.items() if not worker.remaining_hang_s()
        }
        if self.started or len(ready) < self.spec["pages"]:
            return
        self.started = True
        for mark in self.members.values():
            self.simulation.gang_wait_s_total += self.simulation.now - mark.pop("at")
            mark["state"] = "running"
        self.speed = min(worker.speed for worker, _ in self.members)
        self.progress = self.simulation.saved_progress.get(self.job_id, 0.0)
        self.resume_progress()

    def leave(self, worker, key, mark, exit_cause, only=None, **more):
        """Exit by itself, once its machine executes it."""
        if (
            worker.tasks.get(key) is not mark
            or mark["state"] == "exited"
            or (only and mark["state"] != only)
        ):
            return
        if worker.remaining_hang_s():
            self.simulation.after(
                worker.remaining_hang_s() + 0.01,
                lambda: self.leave(worker, key, mark, exit_cause, only, **more),
            )
            return
        if exit_cause == "alone":
            self.simulation.gave_up_waiting.add((self.job_id, self.attempt))
        worker.end_task(key, exit_cause, **more)

    # -- running

    def runtime_s(self):
        if self.job_id not in self.simulation.gang_runtime_s:
            self.simulation.gang_runtime_s[self.job_id] = (
                self.simulation.gang_rng.uniform(0.5, 1.5) * self.spec["runtime_s"]
            )
        return self.simulation.gang_runtime_s[self.job_id]

    def resume_progress(self):
        self.progressing_since = self.simulation.now
        self.progress_timer += 1
        turn, left = self.progress_timer, max(0.0, self.runtime_s() - self.progress) / self.speed
        self.simulation.after(left, lambda: turn == self.progress_timer and self.finish())

    def stop_progress(self):
        """Progress stops."""
        if self.progressing_since is not None:
            self.progress += (self.simulation.now - self.progressing_since) * self.speed
        self.progressing_since = None
        self.progress_timer += 1

    def finish(self):
        self.stop_progress()
        self.completed = True
        self.simulation.completed.update(f"{self.job_id}/{i}" for i in range(self.spec["pages"]))
        for worker, key in list(self.members):
            worker.end_task(key, "done")

    def checkpoint(self):
        every, kept = self.spec["proof_s"], self.simulation.saved_progress.get(self.job_id, 0.0)
        return max(kept, int(self.progress / every + 1e-9) * every) if every > 0 else 0.0

    def on_member_gone(self, worker, key, mark):
        """A member has exited, or its machine is gone."""
        if self.members.pop((worker, key), None) is None:
            return  # it never had its image
        if "at" in mark:
            self.simulation.gang_wait_s_total += self.simulation.now - mark.pop("at")
        elif self.started and not self.completed and not self.progress_saved:
            self.fail()

    def fail(self, within=None):
        """A running gang has lost a task: the others notice in time and exit."""
        if self.broken:
            return
        self.roll_back()
        within = self.simulation.gang_peer_s if within is None else within
        for (worker, key), mark in self.members.items():
            wait = self.simulation.gang_rng.uniform(0.3, 1.0) * within
            self.simulation.after(
                wait, functools.partial(self.leave, worker, key, mark, "mates_gone")
            )

    def roll_back(self):
        self.stop_progress()
        self.broken = True
        self.simulation.saved_progress[self.job_id] = self.checkpoint()

    def on_hang(self, worker):
        if not self.started or self.broken or self.progress_saved or self.completed:
            return
        self.stop_progress()
        until, within = worker.hung_until, self.simulation.gang_peer_s
        wait = self.simulation.gang_rng.uniform(0.3, 0.7) * within

        def notice():
            if (
                worker.remaining_hang_s()
                and worker.hung_until == until
                and not self.progress_saved
                and any(w is worker for w, _ in self.members)
            ):
                self.fail(within - wait)

        self.simulation.after(wait, notice)

    def on_resume(self):
        self.begin()
        if self.started and not self.broken and not self.completed:
            if self.first_stop_at is not None:
                self.exit_saved()
            elif self.progressing_since is None and not any(
                w.remaining_hang_s() for w, _ in self.members
            ):
                self.resume_progress()

    # -- stopping

    def on_stop_command(self, worker, key, mark, grace):
        if mark["state"] == "gathering" or self.broken:
            worker.end_task(key, "halted")
        elif mark["state"] == "flushing":
            if grace <= 0:
                self.lose_progress("ended while it saved")
                worker.end_task(key, "halted")
        else:
            if self.first_stop_at is None:
                self.first_stop_at = self.simulation.now
                self.stop_progress()
                self.simulation.after(self.simulation.gang_peer_s, self.on_stop_deadline)
            if self.spec["proof_s"] <= 0 or grace < self.spec["flush_s"]:
                self.lose_progress("too little grace")
                worker.end_task(key, "halted")
                return
            self.stop_requested.add(key[0])
            mark["state"] = "flushing"
            self.simulation.after(
                self.spec["flush_s"], lambda: self.on_checkpoint_written(worker, key, mark)
            )

    def on_checkpoint_written(self, worker, key, mark):
        if worker.tasks.get(key) is not mark or mark["state"] != "flushing":
            return
        if worker.remaining_hang_s():
            self.simulation.after(
                worker.remaining_hang_s() + 0.01,
                lambda: self.on_checkpoint_written(worker, key, mark),
            )
            return
        mark["kept"] = True
        if self.broken:
            worker.end_task(key, "halted")
        else:
            self.exit_saved()

    def on_stop_deadline(self):
        """No task waits longer than this for the stop commands of the others."""
        self.stop_deadline_passed = True
        if self.broken or self.progress_saved or self.completed:
            return
        if len(self.stop_requested) == self.spec["pages"]:
            self.exit_saved()
            return
        self.lose_progress("not all told in time")
        self.roll_back()
        for (worker, key), mark in list(self.members.items()):
            if mark["state"] == "running":
                self.leave(worker, key, mark, "mates_gone")
            elif mark.get("kept"):
                self.leave(worker, key, mark, "halted")

    def exit_saved(self):
        """Exit with the progress safe, when all have saved after their stop or no time is left."""
        if len(self.stop_requested) < self.spec["pages"]:
            return
        ready = [m for m in self.members.items() if m[1].get("kept")]
        if ready and (
            self.stop_deadline_passed or self.progress_saved or len(ready) == len(self.members)
        ):
            if not self.progress_saved:
                self.progress_saved = True
                self.simulation.saved_progress[self.job_id] = self.progress
            for (worker, key), mark in ready:
                self.leave(worker, key, mark, "halted", saved=True)

    def lose_progress(self, reason):
        """The service has thrown progress away that it could have kept."""
        loss = self.progress - self.checkpoint()
        if (
            self.started
            and not (self.broken or self.progress_saved or self.completed)
            and loss > 1e-6
            and self.spec["proof_s"] > 0
            and self.job_id not in self.simulation.cancel_requested
        ):
            self.simulation.lost_progress.append(
                (self.job_id, self.attempt, reason, round(loss, 3))
            )
