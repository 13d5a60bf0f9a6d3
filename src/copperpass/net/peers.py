"""The links between controllers: one outgoing connection to each, many incoming."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import ClientFactory, Protocol, ServerFactory
from zope.interface import implementer  # type: ignore[import-untyped]

from copperpass.errors import FrameError
from copperpass.log import write
from copperpass.log_events import LogEvent, LogLevel, LogRecord
from copperpass.protocol.frames.codec import encode_frame
from copperpass.protocol.frames.messages import Frame, Hello, UnknownFrame
from copperpass.protocol.frames.stream import FrameDecoder
from copperpass.settings import split_address

Received = Callable[[str, Frame], None]
# A stuck link is given up after as many times the wait between two tries to connect.
STUCK_RETRIES = 12


class Incoming(Protocol):
    """Frames from another controller."""

    def __init__(self, members: set[str], received: Received) -> None:
        self.members, self.received = members, received
        self.unpacker = FrameDecoder()
        self.sender = ""
        self.told_unknown = False

    def dataReceived(self, data: bytes) -> None:
        """Take bytes; anything malformed closes the link and changes nothing.

        What a member of a later version sends beyond this one's knowledge is skipped: a closed link
        would be opened again, and closed again at the next such frame.
        """
        try:
            for frame in self.unpacker.feed(data):
                if isinstance(frame, Hello):
                    if self.sender or frame.member not in self.members:
                        raise FrameError(f"wrong sender {frame.member!r}")
                    self.sender = frame.member
                elif not self.sender:
                    raise FrameError("no hello")
                elif isinstance(frame, UnknownFrame):
                    self._skip(frame)
                else:
                    self.received(self.sender, frame)
        except FrameError as error:
            fields: dict[str, object] = {"peer": self.sender, "reason": str(error)}
            write(LogRecord(LogLevel.ERROR, LogEvent.MALFORMED_FRAME, fields))
            if self.transport is not None:
                self.transport.abortConnection()

    def _skip(self, frame: UnknownFrame) -> None:
        """Say once for each link what its sender knows and this version doesn't."""
        if not self.told_unknown:
            self.told_unknown = True
            fields: dict[str, object] = {
                "peer": self.sender,
                "kind": frame.kind,
                "reason": frame.reason,
            }
            write(LogRecord(LogLevel.INFO, LogEvent.UNKNOWN_FRAME_SKIPPED, fields))


class IncomingFactory(ServerFactory):
    """Makes the receiving ends."""

    noisy = False

    def __init__(self, members: set[str], received: Received) -> None:
        self.members, self.received = members, received

    def buildProtocol(self, addr: Any) -> Incoming:
        """Make one receiving end."""
        return Incoming(self.members, self.received)


@implementer(IPushProducer)
class Link(Protocol):
    """A connection to another controller; says whether bytes pile up on it."""

    def __init__(self, factory: Outgoing) -> None:
        self.factory = factory
        self.stuck_since: float | None = None

    def connectionMade(self) -> None:
        """Greet."""
        transport: Any = self.transport
        self.factory.link = self
        transport.setTcpNoDelay(True)
        transport.registerProducer(self, True)
        transport.write(encode_frame(Hello(self.factory.own)))

    def pauseProducing(self) -> None:
        """More waits than the transport likes to hold."""
        self.stuck_since = self.factory.reactor.seconds()

    def resumeProducing(self) -> None:
        """It has been sent."""
        self.stuck_since = None

    def stopProducing(self) -> None:
        """The connection is lost."""


class Outgoing(ClientFactory):
    """The sending end to one controller; frames are dropped while there is no connection.

    They are dropped as well while what was sent before can't leave: every frame is sent again in
    a newer form, and a cut that holds packets back for minutes must not fill the memory. A link
    that stays stuck for longer than the other side would wait is closed and made anew.
    """

    noisy = False

    def __init__(self, reactor: Any, own: str, addr: str, retry_s: float) -> None:
        self.reactor, self.own, self.retry_s = reactor, own, retry_s
        self.host, self.port = split_address(addr, "members.addr")
        self.link: Link | None = None

    def connect(self) -> None:
        """Open the connection."""
        self.reactor.connectTCP(self.host, self.port, self, timeout=3 * self.retry_s)

    def buildProtocol(self, addr: Any) -> Protocol:
        """Greet once connected."""
        return Link(self)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        """Try again soon."""
        self._again()

    def clientConnectionLost(self, connector: Any, reason: Any) -> None:
        """Try again soon."""
        self.link = None
        self._again()

    def _again(self) -> None:
        self.reactor.callLater(self.retry_s, self.connect)

    def send(self, data: bytes) -> None:
        """Send bytes if there is a connection that takes them."""
        if self.link is None:
            return
        transport: Any = self.link.transport
        if self.link.stuck_since is None:
            transport.write(data)
        elif self.reactor.seconds() - self.link.stuck_since > STUCK_RETRIES * self.retry_s:
            transport.abortConnection()


class Peers:
    """All links of this controller."""

    def __init__(
        self,
        reactor: Any,
        own: str,
        listen: str,
        members: dict[str, str],
        received: Received,
        retry_s: float,
    ) -> None:
        self.reactor = reactor
        self.host, self.port = split_address(listen, "internal_addr")
        self.incoming = IncomingFactory(set(members), received)
        self.outgoing = {
            name: Outgoing(reactor, own, addr, retry_s) for name, addr in members.items()
        }

    def start(self) -> None:
        """Listen and connect."""
        self.reactor.listenTCP(self.port, self.incoming, interface=self.host)
        for link in self.outgoing.values():
            link.connect()

    def send(self, member: str, frame: Frame) -> None:
        """Send a frame to one member."""
        self.outgoing[member].send(encode_frame(frame))
