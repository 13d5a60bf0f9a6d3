"""An HTTP client with a deadline per request and persistent connections."""

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

# Called with the body and its HTTP status, or with `NO_ANSWER` or `NOT_SENT`.
OnResponse = Callable[[int, bytes], None]
CONNECT_TIMEOUT_S = 5.0
JSON_HEADERS = Headers({b"content-type": [b"application/json"]})


class BoundedConnectionPool(HTTPConnectionPool):
    """Limits the connections to `max_connections` by closing the least recently used idle ones.

    Connections in use count towards the limit but are never closed, so there are more connections
    than `max_connections` while more requests than that are in flight.

    Twisted's pool has a limit per host only. With a thousand workers, one idle connection to each
    would use up the sockets needed for incoming connections of workers, users and the load
    balancer.
    """

    def __init__(
        self, reactor: Reactor, per_host: int, max_connections: int, idle_timeout_s: float
    ) -> None:
        super().__init__(reactor, persistent=True)
        self.maxPersistentPerHost = per_host
        self.cachedConnectionTimeout = int(idle_timeout_s)
        # The core decides about retries, since the server may have carried the request out.
        self.retryAutomatically = False
        self.max_connections = max_connections
        self.in_use = 0
        # Twisted's pool key (scheme, host, port) by connection.
        self._keys: dict[Any, Hashable] = {}

    @property
    def idle(self) -> int:
        """The number of open connections without a request."""
        return len(self._timeouts)

    def getConnection(self, key: Any, endpoint: Any) -> Any:
        """Return an idle connection, or a new one after closing idle ones over the limit."""
        if not self._connections.get(key):
            while self._timeouts and self.in_use + self.idle > self.max_connections:
                oldest = next(iter(self._timeouts))
                self._timeouts[oldest].cancel()
                self._removeConnection(self._keys.pop(oldest), oldest)
        return super().getConnection(key, endpoint)

    def _putConnection(self, key: Any, connection: Any) -> None:
        super()._putConnection(key, connection)
        if len(self._keys) > 2 * self.max_connections:
            # Twisted closes idle connections on its own too: drop the keys of those.
            self._keys = {
                known: known_key
                for known, known_key in self._keys.items()
                if known in self._timeouts
            }
        self._keys[connection] = key


@implementer(IAgentEndpointFactory)
class EndpointFactory:
    """Makes endpoints for IP addresses, which need no name resolution."""

    def __init__(self, reactor: Reactor, connect_timeout_s: float) -> None:
        self.reactor = reactor
        self.connect_timeout_s = connect_timeout_s

    def endpointForURI(self, uri: URI) -> TCP4ClientEndpoint:
        """Return the TCP endpoint of a URI whose host is an IPv4 address."""
        return TCP4ClientEndpoint(
            self.reactor, uri.host.decode("ascii"), uri.port, timeout=self.connect_timeout_s
        )


class ResponseBody(Protocol):
    """Collects the body of a response and passes it to `on_response` with the status."""

    def __init__(self, status: int, on_response: OnResponse) -> None:
        self.status = status
        self.on_response = on_response
        self.parts: list[bytes] = []

    def dataReceived(self, data: bytes) -> None:
        """Store a part of the body."""
        self.parts.append(data)

    def connectionLost(self, reason: Any = None) -> None:
        """Report the complete body, or `NO_ANSWER` if the connection was lost before its end."""
        if reason is not None and reason.check(ResponseDone):
            self.on_response(self.status, b"".join(self.parts))
        else:
            self.on_response(NO_ANSWER, b"")


class HttpClient:
    """Sends requests to other systems; every request ends by its deadline.

    A request without a response ends with the status `NO_ANSWER` if the server may have carried it
    out, and with `NOT_SENT` if it can't have.
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
        """Send a request; `on_response` is called exactly once, after `timeout_s` at the latest."""
        uri = f"http://{address}{path}".encode()
        producer: Any = FileBodyProducer(BytesIO(body)) if method != "GET" else None
        ended = False
        response_bodies: list[ResponseBody] = []

        def finish(status: int, data: bytes) -> None:
            nonlocal ended
            if not ended:
                ended = True
                self.pool.in_use -= 1
                if timer.active():
                    timer.cancel()
                on_response(status, data)

        def expire() -> None:
            transport: Any = response_bodies[0].transport if response_bodies else None
            if transport is not None:
                transport.loseConnection()
            else:
                request.cancel()
            finish(NO_ANSWER, b"")

        def on_headers(response: Any) -> None:
            response_bodies.append(ResponseBody(response.code, finish))
            response.deliverBody(response_bodies[0])

        def on_failure(failure: Failure) -> None:
            # No connection was made, or the attempt was cancelled: the request can't arrive later.
            unsent = failure.check(ConnectError, ConnectingCancelledError) is not None
            finish(NOT_SENT if unsent else NO_ANSWER, b"")

        self.pool.in_use += 1
        timer = self.reactor.callLater(timeout_s, expire)
        request: Deferred[Any] = self.agent.request(method.encode(), uri, JSON_HEADERS, producer)
        request.addCallbacks(on_headers, on_failure)
