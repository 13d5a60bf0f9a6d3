"""Checks the rule on preemption, for cases in which all work has the same priority."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from cluster import Cluster
    from worker import Worker


class GuaranteeCheck:
    """Checks each order to stop a task; set it as `on_order` of the cluster.

    In these cases no machine has a notice or is returned and no job is cancelled. So a task may be
    stopped only while its team runs more than its guarantee. Tasks that were told to stop before
    don't count as running.
    """

    def __init__(self, cluster: Cluster) -> None:
        self.cluster, self.stopped = cluster, []

    def __call__(self, worker: Worker, order: dict[str, Any]) -> Any:
        """Check one order that a worker has accepted."""
        task = worker.tasks.get((order["page"], order["take"]))
        page = order["page"]
        if order["verb"] != "kill" or task is None or task["status"] != "running":
            return
        if page in self.stopped:
            return
        desk = self.desk(page)
        cpus, guarantee = self.cpus_of(desk), self.cluster.teams[desk][0]
        self.stopped.append(page)
        self.cluster.record(f"stop of {page}: {desk} runs {cpus} CPUs, guaranteed {guarantee}")
        if cpus <= guarantee + 1e-6:
            self.cluster.rules.break_rule(
                "preemption",
                f"{page} of {desk} is stopped, which runs {cpus} of {guarantee} guaranteed CPUs",
            )

    def desk(self, page: str) -> Any:
        """Return the team of a task."""
        return self.cluster.jobs[page.split("/")[0]]["desk"]

    def cpus_of(self, desk: str) -> Any:
        """Return the CPUs that a team's tasks use on all machines."""
        return sum(
            self.cluster.jobs[page.split("/")[0]]["cpus"] * len(machines)
            for page, machines in self.cluster.rules.present.items()
            if page not in self.stopped and self.desk(page) == desk
        )
