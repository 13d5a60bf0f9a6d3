"""A fake gang: the tasks of one attempt on their workers, and what they exchange."""

from __future__ import annotations

import functools


class Gang:
    """One attempt of a gang.

    A task is a member from the end of its image pull until it exits or its machine drops it.
    Progress is counted in seconds of runtime on a machine of speed 1.
    """

    def __init__(self, simulation, job_id, attempt):
        self.simulation, self.job_id, self.attempt = simulation, job_id, attempt
        self.spec = simulation.specs[job_id]
        # By worker and (task, attempt): the worker's record of the task.
        self.members = {}
        # `broken`: a member was lost while running, or stopped too late, so that the attempt can't
        # complete. `progress_saved`: all progress up to the stop is checkpointed.
        self.started = self.broken = self.progress_saved = self.completed = (
            self.stop_deadline_passed
        ) = False
        # `progressing_since` is None while the gang isn't running; `progress_timer` numbers the
        # scheduled completions, so that only the latest takes effect.
        self.progress, self.progressing_since, self.speed, self.progress_timer = 0.0, None, 1.0, 0
        self.first_stop_at, self.stop_requested = None, set()

    # -- waiting

    def join(self, worker, key, record):
        """Let a task with its image wait for the others; it gives up after `gang_wait_s`."""
        record.update(state="gathering", at=self.simulation.now)
        self.members[worker, key] = record
        self.simulation.task_index.add(worker, key)
        self.simulation.on_task_started(worker, key[0], self.spec)
        others = [
            gang
            for (job_id, attempt), gang in self.simulation.gangs.items()
            if job_id == self.job_id and attempt != self.attempt and gang.members
        ]
        if others:
            self.simulation.violations.append(f"two_attempts: {key} beside {others[0].attempt}")
        if key[0] in self.simulation.completed:
            worker.end_task(key, "done")
            return
        if worker.fails_tasks or self.spec.get("broken"):
            self.simulation.after(0.2, lambda: self.leave(worker, key, record, "error"))
        self.simulation.after(
            self.simulation.gang_wait_s,
            lambda: self.leave(worker, key, record, "alone", "gathering"),
        )
        self.begin()

    def begin(self):
        """Start all tasks once each has its image and none of their machines hangs."""
        ready = {
            key[0] for (worker, key), _ in self.members.items() if not worker.remaining_hang_s()
        }
        if self.started or len(ready) < self.spec["pages"]:
            return
        self.started = True
        for record in self.members.values():
            self.simulation.gang_wait_s_total += self.simulation.now - record.pop("at")
            record["state"] = "running"
        self.speed = min(worker.speed for worker, _ in self.members)
        self.progress = self.simulation.saved_progress.get(self.job_id, 0.0)
        self.resume_progress()

    def leave(self, worker, key, record, exit_cause, only_in_state=None, **exit_details):
        """Let a task exit of its own accord, as soon as its machine doesn't hang.

        `only_in_state`: skip it unless the task is in this state.
        """
        if (
            worker.tasks.get(key) is not record
            or record["state"] == "exited"
            or (only_in_state and record["state"] != only_in_state)
        ):
            return
        if worker.remaining_hang_s():
            self.simulation.after(
                worker.remaining_hang_s() + 0.01,
                lambda: self.leave(worker, key, record, exit_cause, only_in_state, **exit_details),
            )
            return
        if exit_cause == "alone":
            self.simulation.gave_up_waiting.add((self.job_id, self.attempt))
        worker.end_task(key, exit_cause, **exit_details)

    # -- running

    def runtime_s(self):
        """Return the actual runtime, 0.5 to 1.5 times the declared one, equal for all attempts."""
        if self.job_id not in self.simulation.gang_runtime_s:
            self.simulation.gang_runtime_s[self.job_id] = (
                self.simulation.gang_rng.uniform(0.5, 1.5) * self.spec["runtime_s"]
            )
        return self.simulation.gang_runtime_s[self.job_id]

    def resume_progress(self):
        self.progressing_since = self.simulation.now
        self.progress_timer += 1
        timer, left_s = self.progress_timer, max(0.0, self.runtime_s() - self.progress) / self.speed
        self.simulation.after(left_s, lambda: timer == self.progress_timer and self.finish())

    def stop_progress(self):
        """Add the progress made so far and cancel the scheduled completion."""
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
        """Return the progress of the latest periodic checkpoint, or the saved one if greater.

        It is 0 if the job writes no checkpoints (`proof_s` of 0).
        """
        interval, saved = self.spec["proof_s"], self.simulation.saved_progress.get(self.job_id, 0.0)
        return max(saved, int(self.progress / interval + 1e-9) * interval) if interval > 0 else 0.0

    def on_member_gone(self, worker, key, record):
        """Handle the exit of a member or the loss of its machine."""
        if self.members.pop((worker, key), None) is None:
            return  # It was still pulling its image.
        if "at" in record:
            self.simulation.gang_wait_s_total += self.simulation.now - record.pop("at")
        elif self.started and not self.completed and not self.progress_saved:
            self.fail()

    def fail(self, within=None):
        """Break a running gang that lost a task.

        The others notice at random times within `within` seconds (default: `gang_peer_s`) and exit.
        """
        if self.broken:
            return
        self.roll_back()
        within = self.simulation.gang_peer_s if within is None else within
        for (worker, key), record in self.members.items():
            delay = self.simulation.gang_rng.uniform(0.3, 1.0) * within
            self.simulation.after(
                delay, functools.partial(self.leave, worker, key, record, "mates_gone")
            )

    def roll_back(self):
        """Break the attempt; its job falls back to the latest checkpoint."""
        self.stop_progress()
        self.broken = True
        self.simulation.saved_progress[self.job_id] = self.checkpoint()

    def on_hang(self, worker):
        """Pause the progress; the others notice a machine that hangs too long and exit."""
        if not self.started or self.broken or self.progress_saved or self.completed:
            return
        self.stop_progress()
        hung_until, within = worker.hung_until, self.simulation.gang_peer_s
        delay = self.simulation.gang_rng.uniform(0.3, 0.7) * within

        def fail_if_still_hung():
            if (
                worker.remaining_hang_s()
                and worker.hung_until == hung_until
                and not self.progress_saved
                and any(w is worker for w, _ in self.members)
            ):
                self.fail(within - delay)

        self.simulation.after(delay, fail_if_still_hung)

    def on_resume(self):
        """Continue after a hang: start, exit after a stop, or progress, as the state allows."""
        self.begin()
        if self.started and not self.broken and not self.completed:
            if self.first_stop_at is not None:
                self.exit_saved()
            elif self.progressing_since is None and not any(
                w.remaining_hang_s() for w, _ in self.members
            ):
                self.resume_progress()

    # -- stopping

    def on_stop_command(self, worker, key, record, grace):
        """Stop a task, with `grace` seconds to write a checkpoint.

        All tasks must get their stop within `gang_peer_s` of the first one to save the progress.
        """
        if record["state"] == "gathering" or self.broken:
            worker.end_task(key, "halted")
        elif record["state"] == "flushing":
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
            record["state"] = "flushing"
            self.simulation.after(
                self.spec["flush_s"], lambda: self.on_checkpoint_written(worker, key, record)
            )

    def on_checkpoint_written(self, worker, key, record):
        if worker.tasks.get(key) is not record or record["state"] != "flushing":
            return
        if worker.remaining_hang_s():
            self.simulation.after(
                worker.remaining_hang_s() + 0.01,
                lambda: self.on_checkpoint_written(worker, key, record),
            )
            return
        record["kept"] = True
        if self.broken:
            worker.end_task(key, "halted")
        else:
            self.exit_saved()

    def on_stop_deadline(self):
        """End the wait for the stop commands of all tasks, `gang_peer_s` after the first one.

        If some task got none, the attempt breaks and its unsaved progress is lost.
        """
        self.stop_deadline_passed = True
        if self.broken or self.progress_saved or self.completed:
            return
        if len(self.stop_requested) == self.spec["pages"]:
            self.exit_saved()
            return
        self.lose_progress("not all told in time")
        self.roll_back()
        for (worker, key), record in list(self.members.items()):
            if record["state"] == "running":
                self.leave(worker, key, record, "mates_gone")
            elif record.get("kept"):
                self.leave(worker, key, record, "halted")

    def exit_saved(self):
        """Save the progress and let the tasks that wrote their checkpoint exit.

        Requires that all tasks got a stop, and that either all members have written their
        checkpoint, the stop deadline has passed, or the progress is already saved.
        """
        if len(self.stop_requested) < self.spec["pages"]:
            return
        ready = [member for member in self.members.items() if member[1].get("kept")]
        if ready and (
            self.stop_deadline_passed or self.progress_saved or len(ready) == len(self.members)
        ):
            if not self.progress_saved:
                self.progress_saved = True
                self.simulation.saved_progress[self.job_id] = self.progress
            for (worker, key), record in ready:
                self.leave(worker, key, record, "halted", saved=True)

    def lose_progress(self, reason):
        """Record progress that the service throws away though it could have been checkpointed."""
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
