"""Index of the tasks that are on machines, for the checks at each task start."""

from __future__ import annotations


class TaskIndex:
    """Tasks on machines by job, from the end of the image pull to the exit.

    A scan of all machines gives the same result (`matches` compares the two), but a scan at each
    task start took most of the time of a simulation of thousands of machines.
    """

    def __init__(self):
        # By job: the keys (worker, (task, attempt)), in the order of adding.
        self.by_job = {}

    def add(self, worker, key):
        self.by_job.setdefault(key[0].split("/")[0], {})[worker, key] = None

    def discard(self, worker, key):
        job_id = key[0].split("/")[0]
        tasks = self.by_job.get(job_id, {})
        tasks.pop((worker, key), None)
        if not tasks:
            self.by_job.pop(job_id, None)

    def tasks_of_job(self, job_id):
        return self.by_job.get(job_id, {}).keys()

    def matches(self, workers):
        """Whether the index equals a scan of the machines."""
        scanned = sorted(
            (worker.name, task) for worker in workers for task in worker.present_tasks()
        )
        indexed = sorted(
            (worker.name, key[0]) for tasks in self.by_job.values() for worker, key in tasks
        )
        return indexed == scanned
