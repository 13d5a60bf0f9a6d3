"""The controller's state machine: creates its components and routes inputs to them."""

from copperpass.core.node.node import Node

__all__ = ["Node"]
