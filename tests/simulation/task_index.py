"""Which tasks are on machines: kept as they come and go, for the checks at each start."""

from __future__ import annotations


class TaskIndex:
    """The tasks of each job that are on machines, from the image to the exit.

    A scan of all machines at each start gives the same (`matches` compares), but took most of the
    time of a simulation of thousands of machines.
    """

    def __init__(self):
        # By job: (worker, (task, attempt)), in the order in which they came.
        self.by_job = {}

    def add(self, worker, key):
        self.by_job.setdefault(key[0].split("/")[0], {})[worker, key] = None

    def discard(self, worker, key):
        job_id = key[0].split("/")[0]
        tasks = self.by_job.get(job_id, {})
        tasks.pop((worker, key), None)
        if not tasks:
            self.by_job.pop(job_id, None)

    def of(self, job_id):
        return self.by_job.get(job_id, {}).keys()

    def matches(self, workers):
        """Whether the index equals a scan of the machines."""
        scanned = sorted((w.name, task) for w in workers for task in w.present_tasks())
        indexed = sorted((w.name, key[0]) for tasks in self.by_job.values() for w, key in tasks)
        return indexed == scanned
