"""The links between controllers: one outgoing connection to each, and the incoming ones."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import ClientFactory, Protocol, ServerFactory
from zope.interface import implementer  # type: ignore[import-untyped]

from copperpass.errors import FrameError
from copperpass.log import write
from copperpass.log_events import LogEvent, LogLevel, LogRecord
from copperpass.net.reactor import Reactor
from copperpass.protocol.frames.codec import encode_frame
from copperpass.protocol.frames.messages import Frame, Hello, UnknownFrame
from copperpass.protocol.frames.stream import FrameDecoder
from copperpass.settings import split_address

OnFrame = Callable[[str, Frame], None]
# A blocked link is closed after this many intervals between two attempts to connect.
BLOCKED_RETRY_INTERVALS = 12


class IncomingLink(Protocol):
    """The receiving end of a link: decodes frames and passes them on with the sender's name.

    Invariant: no frame is passed on before a `Hello` has named a known member as the sender.
    """

    def __init__(self, members: set[str], on_frame: OnFrame) -> None:
        self.members = members
        self.on_frame = on_frame
        self.decoder = FrameDecoder()
        self.sender = ""
        self.unknown_logged = False

    def dataReceived(self, data: bytes) -> None:
        """Pass on the complete frames; malformed bytes close the link and have no other effect.

        Frames that only a later version knows are skipped. If they closed the link, the sender
        would reconnect, and the next such frame would close it again.
        """
        try:
            for frame in self.decoder.feed(data):
                if isinstance(frame, Hello):
                    if self.sender or frame.member not in self.members:
                        raise FrameError(
                            f"hello: must be sent once, by one of {sorted(self.members)};"
                            f" got {frame.member!r}"
                        )
                    self.sender = frame.member
                elif not self.sender:
                    raise FrameError(f"first frame must be Hello, got {type(frame).__name__}")
                elif isinstance(frame, UnknownFrame):
                    self._skip(frame)
                else:
                    self.on_frame(self.sender, frame)
        except FrameError as error:
            fields: dict[str, object] = {"peer": self.sender, "reason": str(error)}
            write(LogRecord(LogLevel.ERROR, LogEvent.MALFORMED_FRAME, fields))
            if self.transport is not None:
                self.transport.abortConnection()

    def _skip(self, frame: UnknownFrame) -> None:
        """Log the first frame of this link that only a later version knows."""
        if not self.unknown_logged:
            self.unknown_logged = True
            fields: dict[str, object] = {
                "peer": self.sender,
                "kind": frame.kind,
                "reason": frame.reason,
            }
            write(LogRecord(LogLevel.INFO, LogEvent.UNKNOWN_FRAME_SKIPPED, fields))


class IncomingLinkFactory(ServerFactory):
    """Makes the receiving end of each incoming connection."""

    noisy = False

    def __init__(self, members: set[str], on_frame: OnFrame) -> None:
        self.members = members
        self.on_frame = on_frame

    def buildProtocol(self, addr: Any) -> IncomingLink:
        """Return the receiving end of a new connection."""
        return IncomingLink(self.members, self.on_frame)


@implementer(IPushProducer)
class OutgoingLink(Protocol):
    """A connection to another controller, with back-pressure.

    `blocked_since`: the reactor time in seconds since when the transport's buffer is full; None
    while it is not.
    """

    def __init__(self, factory: OutgoingLinkFactory) -> None:
        self.factory = factory
        self.blocked_since: float | None = None

    def connectionMade(self) -> None:
        """Send `Hello`: the first frame names the sender."""
        transport: Any = self.transport
        self.factory.link = self
        transport.setTcpNoDelay(True)
        transport.registerProducer(self, True)
        transport.write(encode_frame(Hello(self.factory.own_name)))

    def pauseProducing(self) -> None:
        """Mark the link as blocked: the transport's buffer is full."""
        self.blocked_since = self.factory.reactor.seconds()

    def resumeProducing(self) -> None:
        """Mark the link as unblocked: the transport's buffer has been sent."""
        self.blocked_since = None

    def stopProducing(self) -> None:
        """Do nothing: `clientConnectionLost` of the factory handles a lost connection."""


class OutgoingLinkFactory(ClientFactory):
    """Keeps a connection to one controller; drops frames while there is none.

    Frames are also dropped while the transport's buffer is full. A network partition that holds
    packets back for minutes must not fill the memory, and the sender repeats each frame with newer
    content. A link that stays blocked for longer than the receiver would wait is closed and
    reopened.
    """

    noisy = False

    def __init__(self, reactor: Reactor, own_name: str, address: str, retry_s: float) -> None:
        self.reactor = reactor
        self.own_name = own_name
        self.retry_s = retry_s
        self.host, self.port = split_address(address, "members.addr")
        # None while there is no connection.
        self.link: OutgoingLink | None = None

    def connect(self) -> None:
        """Start to connect, with a timeout of three retry intervals."""
        self.reactor.connectTCP(self.host, self.port, self, timeout=3 * self.retry_s)

    def buildProtocol(self, addr: Any) -> Protocol:
        """Return the sending end of a new connection."""
        return OutgoingLink(self)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        """Connect again after the retry interval."""
        self._reconnect_later()

    def clientConnectionLost(self, connector: Any, reason: Any) -> None:
        """Connect again after the retry interval."""
        self.link = None
        self._reconnect_later()

    def _reconnect_later(self) -> None:
        self.reactor.callLater(self.retry_s, self.connect)

    def send(self, data: bytes) -> None:
        """Send an encoded frame, or drop it while the link is down or blocked.

        Aborts the connection once it has been blocked for `BLOCKED_RETRY_INTERVALS`.
        """
        if self.link is None:
            return
        transport: Any = self.link.transport
        if self.link.blocked_since is None:
            transport.write(data)
        elif (
            self.reactor.seconds() - self.link.blocked_since
            > BLOCKED_RETRY_INTERVALS * self.retry_s
        ):
            transport.abortConnection()


class PeerLinks:
    """All links of this controller: one outgoing to each other member, and the incoming ones.

    `members` maps the other members' names to their addresses (`host:port`). `retry_s` is the time
    in seconds between two attempts to connect.
    """

    def __init__(
        self,
        reactor: Reactor,
        own_name: str,
        listen: str,
        members: dict[str, str],
        on_frame: OnFrame,
        retry_s: float,
    ) -> None:
        self.reactor = reactor
        self.host, self.port = split_address(listen, "internal_addr")
        self.incoming = IncomingLinkFactory(set(members), on_frame)
        self.outgoing = {
            name: OutgoingLinkFactory(reactor, own_name, address, retry_s)
            for name, address in members.items()
        }

    def start(self) -> None:
        """Accept incoming links and connect to all other members."""
        self.reactor.listenTCP(self.port, self.incoming, interface=self.host)
        for link in self.outgoing.values():
            link.connect()

    def send(self, member: str, frame: Frame) -> None:
        """Send a frame to one member, or drop it while its link is down or blocked."""
        self.outgoing[member].send(encode_frame(frame))
