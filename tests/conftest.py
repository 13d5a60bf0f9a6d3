"""Fixtures and collection hooks shared by the test modules."""

import threading
from typing import Any

import pytest


def pytest_collection_modifyitems(items):
    """Start the longest tests first, so that no core is still busy with one at the end."""
    items.sort(key=lambda item: item.get_closest_marker("longest") is None)


@pytest.fixture(scope="session")
def reactor():
    """Run a twisted reactor; one per process, since a reactor can't be restarted."""
    from twisted.internet import reactor

    # Twisted types the module by interfaces that lack some of the methods used here.
    running_reactor: Any = reactor
    thread = threading.Thread(
        target=lambda: running_reactor.run(installSignalHandlers=False), daemon=True
    )
    thread.start()
    yield running_reactor
    running_reactor.callFromThread(running_reactor.stop)
    thread.join(10)
