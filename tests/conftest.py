"""Fixtures of several test modules."""

import threading

import pytest


def pytest_collection_modifyitems(items):
    """The longest tests first, so that no core is left alone with one at the end."""
    items.sort(key=lambda item: item.get_closest_marker("longest") is None)


@pytest.fixture(scope="session")
def reactor():
    """A running twisted reactor: one a process, since it can't be started again."""
    from twisted.internet import reactor

    thread = threading.Thread(target=lambda: reactor.run(installSignalHandlers=False), daemon=True)
    thread.start()
    yield reactor
    reactor.callFromThread(reactor.stop)
    thread.join(10)
