"""HTTP calls with deadlines, over connections that stay open."""

from __future__ import annotations

from collections.abc import Callable, Hashable
from io import BytesIO
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectError, ConnectingCancelledError
from twisted.internet.protocol import Protocol
from twisted.web.client import URI, Agent, FileBodyProducer, HTTPConnectionPool, ResponseDone
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer  # type: ignore[import-untyped]

from copperpass.core.ports import NO_ANSWER, NOT_SENT

Done = Callable[[int, bytes], None]
JSON = Headers({b"content-type": [b"application/json"]})


class BoundedPool(HTTPConnectionPool):
    """Keeps at most `most` sockets: an idle one, the least recently used, makes room for another.

    The pool of the library is bounded for each host only. With a thousand workers, one idle
    connection to each would take the sockets that workers, users and the load balancer come in on.
    """

    def __init__(self, reactor: Any, per_host: int, most: int, keep_s: float) -> None:
        super().__init__(reactor, persistent=True)
        self.maxPersistentPerHost = per_host
        self.cachedConnectionTimeout = int(keep_s)
        # A request is never sent twice behind the core's back.
        self.retryAutomatically = False
        self.most = most
        self.in_use = 0
        self._keys: dict[Any, Hashable] = {}

    @property
    def idle(self) -> int:
        """How many connections wait for their next request."""
        return len(self._timeouts)

    def getConnection(self, key: Any, endpoint: Any) -> Any:
        """Give an idle connection, or a new one after closing what is too many."""
        if not self._connections.get(key):
            while self._timeouts and self.in_use + self.idle > self.most:
                oldest = next(iter(self._timeouts))
                self._timeouts[oldest].cancel()
                self._removeConnection(self._keys.pop(oldest), oldest)
        return super().getConnection(key, endpoint)

    def _putConnection(self, key: Any, connection: Any) -> None:
        super()._putConnection(key, connection)
        self._keys = (
            {c: k for c, k in self._keys.items() if c in self._timeouts}
            if (len(self._keys) > 2 * self.most)
            else self._keys
        )
        self._keys[connection] = key


@implementer(IAgentEndpointFactory)
class Endpoints:
    """Makes endpoints of IP numbers, which need no look-up."""

    def __init__(self, reactor: Any, timeout: float) -> None:
        self.reactor, self.timeout = reactor, timeout

    def endpointForURI(self, uri: URI) -> TCP4ClientEndpoint:
        """The endpoint of an address."""
        return TCP4ClientEndpoint(
            self.reactor, uri.host.decode("ascii"), uri.port, timeout=self.timeout
        )


class Body(Protocol):
    """Gathers the body of a response."""

    def __init__(self, status: int, done: Done) -> None:
        self.status, self.done = status, done
        self.parts: list[bytes] = []

    def dataReceived(self, data: bytes) -> None:
        """Take a part."""
        self.parts.append(data)

    def connectionLost(self, reason: Any = None) -> None:
        """The body is whole, or the connection was lost on the way."""
        if reason is not None and reason.check(ResponseDone):
            self.done(self.status, b"".join(self.parts))
        else:
            self.done(NO_ANSWER, b"")


class Client:
    """Asks other systems; every call ends by its deadline.

    Its status is `NO_ANSWER` if it may have been carried out, `NOT_SENT` if it can't have been.
    """

    def __init__(self, reactor: Any, per_host: int, most: int, keep_s: float = 60.0) -> None:
        self.reactor = reactor
        self.pool = BoundedPool(reactor, per_host, most, keep_s)
        self.agent = Agent.usingEndpointFactory(reactor, Endpoints(reactor, 5.0), self.pool)

    def call(
        self, method: str, address: str, path: str, body: bytes, timeout: float, done: Done
    ) -> None:
        """Send a request and report its status and body exactly once."""
        uri = f"http://{address}{path}".encode()
        producer: Any = FileBodyProducer(BytesIO(body)) if method != "GET" else None
        ended = False
        reading: list[Body] = []

        def finish(status: int, data: bytes) -> None:
            nonlocal ended
            if not ended:
                ended = True
                self.pool.in_use -= 1
                if timer.active():
                    timer.cancel()
                done(status, data)

        def expire() -> None:
            transport: Any = reading[0].transport if reading else None
            if transport is not None:
                transport.loseConnection()
            else:
                asking.cancel()
            finish(NO_ANSWER, b"")

        def answered(response: Any) -> None:
            reading.append(Body(response.code, finish))
            response.deliverBody(reading[0])

        def failed(failure: Any) -> None:
            # A connection that was never made, or was given up, carries nothing later.
            unsent = failure.check(ConnectError, ConnectingCancelledError) is not None
            finish(NOT_SENT if unsent else NO_ANSWER, b"")

        self.pool.in_use += 1
        timer = self.reactor.callLater(timeout, expire)
        asking: Deferred[Any] = self.agent.request(method.encode(), uri, JSON, producer)
        asking.addCallbacks(answered, failed)
