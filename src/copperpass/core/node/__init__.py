"""One controller: its parts wired together, and the routing of its inputs."""

from copperpass.core.node.node import Node

__all__ = ["Node"]
