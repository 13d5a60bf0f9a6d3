"""Fixtures of several test modules."""

import threading
from typing import Any

import pytest


def pytest_collection_modifyitems(items):
    """The longest tests first, so that no core is left alone with one at the end."""
    items.sort(key=lambda item: item.get_closest_marker("longest") is None)


@pytest.fixture(scope="session")
def reactor():
    """A running twisted reactor: one a process, since it can't be started again."""
    from twisted.internet import reactor

    # Twisted's module is typed as the interfaces of what it holds.
    running: Any = reactor
    thread = threading.Thread(target=lambda: running.run(installSignalHandlers=False), daemon=True)
    thread.start()
    yield running
    running.callFromThread(running.stop)
    thread.join(10)
