"""The part of twisted's reactor that this package uses, as a type: twisted's own has none."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol


class Timer(Protocol):
    """A call that is due later."""

    def active(self) -> bool:
        """Whether it is still to be made."""

    def cancel(self) -> None:
        """Never make it."""


class Reactor(Protocol):
    """Clock, timers and TCP. Times are in seconds of the monotonic clock."""

    def seconds(self) -> float:
        """The time now."""

    def callLater(self, delay: float, function: Callable[..., object]) -> Timer:
        """Call a function after a delay."""

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> object:
        """Accept connections."""

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float = 30) -> object:
        """Open a connection."""
