"""HTTP calls with deadlines, over connections that stay open."""

from __future__ import annotations

from collections.abc import Callable
from io import BytesIO
from typing import Any

from twisted.internet.defer import Deferred
from twisted.web.client import Agent, FileBodyProducer, HTTPConnectionPool, readBody
from twisted.web.http_headers import Headers

Done = Callable[[int, bytes], None]
JSON = Headers({b"content-type": [b"application/json"]})


class Client:
    """Asks other systems; every call ends by its deadline, with status 0 if unanswered."""

    def __init__(self, reactor: Any, per_host: int) -> None:
        self.reactor = reactor
        self.pool = HTTPConnectionPool(reactor, persistent=True)
        self.pool.maxPersistentPerHost = per_host
        self.pool.cachedConnectionTimeout = 60
        # A request is never sent twice behind the core's back.
        self.pool.retryAutomatically = False
        self.agent = Agent(reactor, connectTimeout=5, pool=self.pool)

    def call(
        self, method: str, address: str, path: str, body: bytes, timeout: float, done: Done
    ) -> None:
        """Send a request and report its status and body exactly once."""
        uri = f"http://{address}{path}".encode()
        producer: Any = FileBodyProducer(BytesIO(body)) if method != "GET" else None
        ended = False
        current: list[Deferred[Any]] = []

        def finish(status: int, data: bytes) -> None:
            nonlocal ended
            if not ended:
                ended = True
                if timer.active():
                    timer.cancel()
                done(status, data)

        def expire() -> None:
            deferred = current[-1]
            finish(0, b"")
            deferred.cancel()

        def answered(response: Any) -> Deferred[Any]:
            reading: Deferred[Any] = readBody(response)
            current.append(reading)
            reading.addCallback(lambda data: finish(response.code, data))
            return reading

        timer = self.reactor.callLater(timeout, expire)
        asking: Deferred[Any] = self.agent.request(method.encode(), uri, JSON, producer)
        current.append(asking)
        asking.addCallback(answered)
        asking.addErrback(lambda failure: finish(0, b""))
