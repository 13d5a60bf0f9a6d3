"""The type of the parts of Twisted's reactor that this package uses; Twisted's own is untyped."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol


class Timer(Protocol):
    """A scheduled call."""

    def active(self) -> bool:
        """Whether the call is pending: neither made nor cancelled."""

    def cancel(self) -> None:
        """Cancel the call."""


class Reactor(Protocol):
    """Clock, timers and TCP; times and durations are in seconds of the monotonic clock."""

    def seconds(self) -> float:
        """Return the current time."""

    def callLater(self, delay: float, function: Callable[..., object]) -> Timer:
        """Schedule a call of a function after a delay."""

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> object:
        """Accept connections on a port, on all interfaces if `interface` is empty."""

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float = 30) -> object:
        """Open a connection; `factory` learns of its success or failure."""
