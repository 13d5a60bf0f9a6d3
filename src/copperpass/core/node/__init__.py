"""One controller: its parts wired together, and the routing of its inputs."""

from copperpass.core.node.node import Node, shards_of

__all__ = ["Node", "shards_of"]
