"""HTTP calls with deadlines, over connections that stay open."""

from __future__ import annotations

from collections.abc import Callable, Hashable
from io import BytesIO
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectError, ConnectingCancelledError
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web.client import URI, Agent, FileBodyProducer, HTTPConnectionPool, ResponseDone
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer  # type: ignore[import-untyped]

from copperpass.core.ports import NO_ANSWER, NOT_SENT
from copperpass.net.reactor import Reactor

# Called with an HTTP status, `NO_ANSWER` or `NOT_SENT`, and the body.
OnResponse = Callable[[int, bytes], None]
CONNECT_TIMEOUT_S = 5.0
JSON_HEADERS = Headers({b"content-type": [b"application/json"]})


class BoundedConnectionPool(HTTPConnectionPool):
    """Holds at most `max_connections`: the idle one least recently used is closed for a new one.

    Connections in use count too, but none of them is closed: with more requests in flight than
    `max_connections` there are more connections.

    The pool of the library is bounded for each host only. With a thousand workers, one idle
    connection to each would take the sockets that workers, users and the load balancer come in on.
    """

    def __init__(
        self, reactor: Reactor, per_host: int, max_connections: int, idle_timeout_s: float
    ) -> None:
        super().__init__(reactor, persistent=True)
        self.maxPersistentPerHost = per_host
        self.cachedConnectionTimeout = int(idle_timeout_s)
        # The core decides whether a request is sent again: it may have been carried out.
        self.retryAutomatically = False
        self.max_connections = max_connections
        self.in_use = 0
        self._keys: dict[Any, Hashable] = {}

    @property
    def idle(self) -> int:
        """How many connections are open without a request."""
        return len(self._timeouts)

    def getConnection(self, key: Any, endpoint: Any) -> Any:
        """An idle connection, or a new one after closing those that are too many."""
        if not self._connections.get(key):
            while self._timeouts and self.in_use + self.idle > self.max_connections:
                oldest = next(iter(self._timeouts))
                self._timeouts[oldest].cancel()
                self._removeConnection(self._keys.pop(oldest), oldest)
        return super().getConnection(key, endpoint)

    def _putConnection(self, key: Any, connection: Any) -> None:
        super()._putConnection(key, connection)
        if len(self._keys) > 2 * self.max_connections:
            # The library closes connections on its own too: drop the keys of these.
            self._keys = {
                idle: its_key for idle, its_key in self._keys.items() if idle in self._timeouts
            }
        self._keys[connection] = key


@implementer(IAgentEndpointFactory)
class EndpointFactory:
    """Makes endpoints of IP addresses, which need no name resolution."""

    def __init__(self, reactor: Reactor, connect_timeout_s: float) -> None:
        self.reactor = reactor
        self.connect_timeout_s = connect_timeout_s

    def endpointForURI(self, uri: URI) -> TCP4ClientEndpoint:
        """The endpoint of an address."""
        return TCP4ClientEndpoint(
            self.reactor, uri.host.decode("ascii"), uri.port, timeout=self.connect_timeout_s
        )


class ResponseBody(Protocol):
    """Collects the body of a response, then passes it on with the status."""

    def __init__(self, status: int, on_response: OnResponse) -> None:
        self.status = status
        self.on_response = on_response
        self.parts: list[bytes] = []

    def dataReceived(self, data: bytes) -> None:
        """Add a part."""
        self.parts.append(data)

    def connectionLost(self, reason: Any = None) -> None:
        """The body is complete, or the connection was lost before its end."""
        if reason is not None and reason.check(ResponseDone):
            self.on_response(self.status, b"".join(self.parts))
        else:
            self.on_response(NO_ANSWER, b"")


class HttpClient:
    """Sends requests to other systems; every request ends by its deadline.

    Its status is `NO_ANSWER` if it may have been carried out, `NOT_SENT` if it can't have been.
    """

    def __init__(
        self, reactor: Reactor, per_host: int, max_connections: int, idle_timeout_s: float = 60.0
    ) -> None:
        self.reactor = reactor
        self.pool = BoundedConnectionPool(reactor, per_host, max_connections, idle_timeout_s)
        self.agent = Agent.usingEndpointFactory(
            reactor, EndpointFactory(reactor, CONNECT_TIMEOUT_S), self.pool
        )

    def call(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes,
        timeout_s: float,
        on_response: OnResponse,
    ) -> None:
        """Send a request; `on_response` is called exactly once, with its status and body."""
        uri = f"http://{address}{path}".encode()
        producer: Any = FileBodyProducer(BytesIO(body)) if method != "GET" else None
        ended = False
        reading: list[ResponseBody] = []

        def finish(status: int, data: bytes) -> None:
            nonlocal ended
            if not ended:
                ended = True
                self.pool.in_use -= 1
                if timer.active():
                    timer.cancel()
                on_response(status, data)

        def expire() -> None:
            transport: Any = reading[0].transport if reading else None
            if transport is not None:
                transport.loseConnection()
            else:
                request.cancel()
            finish(NO_ANSWER, b"")

        def on_headers(response: Any) -> None:
            reading.append(ResponseBody(response.code, finish))
            response.deliverBody(reading[0])

        def on_failure(failure: Failure) -> None:
            # A connection that was never made, or was abandoned before, carries nothing later.
            unsent = failure.check(ConnectError, ConnectingCancelledError) is not None
            finish(NOT_SENT if unsent else NO_ANSWER, b"")

        self.pool.in_use += 1
        timer = self.reactor.callLater(timeout_s, expire)
        request: Deferred[Any] = self.agent.request(method.encode(), uri, JSON_HEADERS, producer)
        request.addCallbacks(on_headers, on_failure)
