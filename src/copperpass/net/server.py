"""The HTTP server for users, workers and the load balancer."""

from __future__ import annotations

from io import BytesIO
from typing import Any, Protocol, cast

from twisted.web.http import HTTPFactory, Request

from copperpass.net.reactor import Reactor
from copperpass.protocol.json_codec import error_body
from copperpass.protocol.users import CANCEL_SUFFIX, HEALTH_PATH, JOBS_PATH, MAX_BODY_BYTES
from copperpass.protocol.workers import HEARTBEAT_PATH

JSON_CONTENT_TYPE = b"application/json"


class BoundedBody(BytesIO):
    """A request body in memory, truncated one byte after the limit so that an excess shows."""

    def write(self, data: Any) -> int:
        """Store the part of `data` within the limit, drop the rest; returns the size of `data`."""
        super().write(data[: max(0, MAX_BODY_BYTES + 1 - self.tell())])
        return len(data)


class ApiService(Protocol):
    """Handles requests; answers each with the request's `reply`, at once or later."""

    def worker_heartbeat(self, request: ApiRequest, body: bytes) -> None:
        """Handle a worker's heartbeat."""

    def health(self) -> tuple[int, bytes]:
        """Return status and body for the load balancer's health check."""

    def submit(self, request: ApiRequest, body: bytes) -> None:
        """Handle a user's submission of a job."""

    def poll(self, request: ApiRequest, job_id: str) -> None:
        """Handle a user's query of a job's state."""

    def cancel(self, request: ApiRequest, job_id: str) -> None:
        """Handle a user's cancellation of a job."""


class ApiRequest(Request):
    """One request; the service answers it with `reply`, at once or later."""

    # Set by `ApiFactory` on a subclass per factory, as Twisted makes the requests.
    service: ApiService
    disconnected = False

    def gotLength(self, length: int | None) -> None:
        """Start a body in memory; Twisted would write one of unknown or large size to a file."""
        self.content = BoundedBody()

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:
        """Handle a complete request without Twisted's parsing of forms, its most expensive step."""
        content: Any = self.content
        content.seek(0)
        self.method, self.uri, self.clientproto = command, path, version
        self.path = path.partition(b"?")[0]
        self.process()

    def process(self) -> None:
        """Route the request by path and method."""
        path = self.path.decode("latin-1")
        method = self.method.decode("latin-1")
        service = self.service
        content: Any = self.content
        if path == HEARTBEAT_PATH:
            if self._is_allowed(method, "POST"):
                service.worker_heartbeat(self, content.read(MAX_BODY_BYTES + 1))
        elif path == HEALTH_PATH:
            if self._is_allowed(method, "GET"):
                self.reply(*service.health())
        elif path == JOBS_PATH:
            if self._is_allowed(method, "POST"):
                service.submit(self, content.read(MAX_BODY_BYTES + 1))
        elif path.startswith(JOBS_PATH + "/"):
            subpath = path[len(JOBS_PATH) + 1 :]
            if subpath.endswith(CANCEL_SUFFIX) and subpath.count("/") == 1:
                if self._is_allowed(method, "POST"):
                    service.cancel(self, subpath[: -len(CANCEL_SUFFIX)])
            elif "/" in subpath or not subpath:
                self.reply(404, error_body("no such path"))
            elif self._is_allowed(method, "GET"):
                service.poll(self, subpath)
        else:
            self.reply(404, error_body("no such path"))

    def _is_allowed(self, method: str, expected: str) -> bool:
        if method == expected:
            return True
        self.setHeader(b"allow", expected.encode())
        self.reply(405, error_body("method not allowed"))
        return False

    def connectionLost(self, reason: Any) -> None:
        """Record that the client has disconnected, so that no reply is written."""
        self.disconnected = True
        super().connectionLost(reason)

    def reply(self, status: int, body: bytes, retry_after: int | None = None) -> None:
        """Send the answer unless the client has one or is gone; `retry_after` is in seconds."""
        if self.disconnected or self.finished:
            return
        self.setResponseCode(status)
        self.setHeader(b"content-type", JSON_CONTENT_TYPE)
        self.setHeader(b"content-length", str(len(body)).encode())
        if retry_after is not None:
            self.setHeader(b"retry-after", str(retry_after).encode())
        self.write(body)
        self.finish()


class ApiFactory(HTTPFactory):
    """Makes channels that pass requests to `service`; closes channels idle for `idle_timeout_s`."""

    def __init__(self, service: ApiService, reactor: Reactor, idle_timeout_s: float) -> None:
        super().__init__(timeout=int(idle_timeout_s), reactor=cast(Any, reactor))
        self.request_class = type("BoundRequest", (ApiRequest,), {"service": service})

    def buildProtocol(self, addr: Any) -> Any:
        """Return the channel of a new connection."""
        channel = super().buildProtocol(addr)
        if channel is not None:
            channel.requestFactory = self.request_class
        return channel

    def log(self, request: Request) -> None:
        """Write no access log: the service logs the relevant events."""
