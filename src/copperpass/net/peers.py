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
from copperpass.net.reactor import Reactor
from copperpass.protocol.frames.codec import encode_frame
from copperpass.protocol.frames.messages import Frame, Hello, UnknownFrame
from copperpass.protocol.frames.stream import FrameDecoder
from copperpass.settings import split_address

OnFrame = Callable[[str, Frame], None]
# A blocked link is closed after as many times the interval between two attempts to connect.
BLOCKED_RETRY_INTERVALS = 12


class IncomingLink(Protocol):
    """The receiving end of a link: decodes frames and passes them on with the sender's name.

    Invariant: no frame is passed on before the sender has named itself as a known member.
    """

    def __init__(self, members: set[str], on_frame: OnFrame) -> None:
        self.members = members
        self.on_frame = on_frame
        self.decoder = FrameDecoder()
        self.sender = ""
        self.unknown_logged = False

    def dataReceived(self, data: bytes) -> None:
        """Take bytes; anything malformed closes the link and changes nothing.

        What a member of a later version sends beyond this one's knowledge is skipped: a closed link
        would be opened again, and closed again at the next such frame.
        """
        try:
            for frame in self.decoder.feed(data):
                if isinstance(frame, Hello):
                    if self.sender or frame.member not in self.members:
                        raise FrameError(f"wrong sender {frame.member!r}")
                    self.sender = frame.member
                elif not self.sender:
                    raise FrameError("no hello")
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
        """Log, once a link, a frame of a later version that this one doesn't know."""
        if not self.unknown_logged:
            self.unknown_logged = True
            fields: dict[str, object] = {
                "peer": self.sender,
                "kind": frame.kind,
                "reason": frame.reason,
            }
            write(LogRecord(LogLevel.INFO, LogEvent.UNKNOWN_FRAME_SKIPPED, fields))


class IncomingLinkFactory(ServerFactory):
    """Makes the receiving ends."""

    noisy = False

    def __init__(self, members: set[str], on_frame: OnFrame) -> None:
        self.members = members
        self.on_frame = on_frame

    def buildProtocol(self, addr: Any) -> IncomingLink:
        """Make one receiving end."""
        return IncomingLink(self.members, self.on_frame)


@implementer(IPushProducer)
class OutgoingLink(Protocol):
    """A connection to another controller; says whether bytes pile up on it."""

    def __init__(self, factory: OutgoingLinkFactory) -> None:
        self.factory = factory
        self.blocked_since: float | None = None

    def connectionMade(self) -> None:
        """Introduce this member: the first frame names the sender."""
        transport: Any = self.transport
        self.factory.link = self
        transport.setTcpNoDelay(True)
        transport.registerProducer(self, True)
        transport.write(encode_frame(Hello(self.factory.own_name)))

    def pauseProducing(self) -> None:
        """The transport's buffer is full."""
        self.blocked_since = self.factory.reactor.seconds()

    def resumeProducing(self) -> None:
        """The transport's buffer has been sent."""
        self.blocked_since = None

    def stopProducing(self) -> None:
        """The connection is lost."""


class OutgoingLinkFactory(ClientFactory):
    """The sending end to one controller; frames are dropped while there is no connection.

    They are dropped as well while what was sent before can't leave: every frame is sent again in
    a newer form, and a cut that holds packets back for minutes must not fill the memory. A link
    that stays blocked for longer than the other side would wait is closed and made anew.
    """

    noisy = False

    def __init__(self, reactor: Reactor, own_name: str, address: str, retry_s: float) -> None:
        self.reactor = reactor
        self.own_name = own_name
        self.retry_s = retry_s
        self.host, self.port = split_address(address, "members.addr")
        self.link: OutgoingLink | None = None

    def connect(self) -> None:
        """Open the connection."""
        self.reactor.connectTCP(self.host, self.port, self, timeout=3 * self.retry_s)

    def buildProtocol(self, addr: Any) -> Protocol:
        """Make the sending end of a new connection."""
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
        """Send bytes if there is a connection that takes them."""
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
    """All links of this controller: one outgoing to each other member, and those that come in.

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
        """Listen and connect."""
        self.reactor.listenTCP(self.port, self.incoming, interface=self.host)
        for link in self.outgoing.values():
            link.connect()

    def send(self, member: str, frame: Frame) -> None:
        """Send a frame to one member, or drop it if its link takes none."""
        self.outgoing[member].send(encode_frame(frame))
