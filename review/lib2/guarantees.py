"""Checks the rule on preemption, for cases in which all work has the same priority."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from cluster import Cluster
    from worker import Worker


class GuaranteeCheck:
    """Notes the orders to stop a task that the rule forbids; set it as `on_order` of the cluster.

    In these cases all work has the same priority, no machine has a notice and no job is cancelled.
    So a running task may be stopped while its team uses more than its guarantee, or in order to
    return its machine.
    """

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.stopped: list[str] = []
        # Forbidden unless the machine is returned: (machine, text).
        self.suspects: list[tuple[str, str]] = []

    def __call__(self, worker: Worker, order: dict[str, Any]) -> None:
        """Check one order that a worker has accepted, before it is executed."""
        page = order["page"]
        task = worker.tasks.get((page, order["take"]))
        if order["verb"] != "kill" or task is None or task["status"] != "running":
            return
        desk = self.cluster.jobs[page.split("/")[0]]["desk"]
        cpus, guarantee = self.cpus_of(desk), self.cluster.teams[desk][0]
        text = f"{page} of {desk} is stopped, which uses {cpus} CPUs and is guaranteed {guarantee}"
        self.cluster.record(text)
        self.stopped.append(page)
        if cpus <= guarantee + 1e-6:
            self.suspects.append((worker.name, text))

    def cpus_of(self, desk: str) -> float:
        """Return the CPUs of a team's tasks on all machines, also of those without their image."""
        return sum(
            task["cpus"]
            for machine in self.cluster.cloud.machines.values()
            if machine["worker"]
            for (page, _), task in machine["worker"].tasks.items()
            if task["status"] != "exited" and self.cluster.jobs[page.split("/")[0]]["desk"] == desk
        )

    def finish(self) -> None:
        """Break the rule for each forbidden stop on a machine that was not returned."""
        self.cluster.record(f"{len(self.stopped)} tasks stopped: {sorted(self.stopped)}")
        for machine, text in self.suspects:
            if machine in self.cluster.cloud.machines:
                self.cluster.rules.break_rule("preemption", text)
            else:
                self.cluster.record(f"allowed, as {machine} was returned: {text}")
