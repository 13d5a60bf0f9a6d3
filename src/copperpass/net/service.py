"""Connects the core, which does no I/O, to the reactor: clocks, sockets and the log.

Each input is passed to the node; then the contents of the node's outbox are sent and logged. An
exception of the node is logged and ends only the handling of that input.
"""

from __future__ import annotations

import gc
import logging
import os
import time
from typing import Any, cast

from copperpass import __version__
from copperpass.core.node.node import Node
from copperpass.core.ports import NO_ANSWER, NOT_SENT, Call, CallOutcome, ExternalService
from copperpass.log import write
from copperpass.log_events import LogEvent, LogLevel, LogRecord
from copperpass.net.client import HttpClient
from copperpass.net.peers import PeerLinks
from copperpass.net.reactor import Reactor, Timer
from copperpass.net.server import ApiFactory, ApiRequest
from copperpass.protocol.frames.messages import Frame
from copperpass.settings import Settings, split_address
from copperpass.tuning import Tuning

logger = logging.getLogger("copperpass")

# An input whose handling takes longer than this fraction of the leader lease is logged: while it is
# handled, no lease is renewed and nothing is answered.
SLOW_INPUT_RATIO = 0.1


class Service:
    """One running controller: owns its node, sockets and timers.

    All of it runs on the reactor's thread, one input at a time.
    """

    def __init__(self, settings: Settings, tuning: Tuning, reactor: Reactor) -> None:
        self.settings = settings
        self.reactor = reactor
        self.now = time.monotonic
        # The wall clock can jump, so only its offset from the monotonic clock at the start is used,
        # and only to tell how long a job has waited already.
        self.node = Node(
            settings,
            int.from_bytes(os.urandom(8), "big"),
            self.now(),
            tuning,
            time.time() - self.now(),
        )
        self.peers = PeerLinks(
            reactor,
            settings.name,
            settings.peer_listen,
            {member.name: member.address for member in settings.members},
            self._on_frame,
            self.node.timings.vote_s / 4,
        )
        max_connections = settings.cluster.resources.max_connections
        self.client = HttpClient(reactor, per_host=8, max_connections=32)
        # Commands to workers get a quarter of the connections; the rest is for incoming ones.
        self.worker_client = HttpClient(
            reactor,
            per_host=1,
            max_connections=max(16, max_connections // 4),
            idle_timeout_s=2 * settings.cluster.workers.lease_s,
        )
        self.addresses = {
            ExternalService.STATE: settings.services.state,
            ExternalService.CLOUD: settings.services.cloud,
        }
        self.tick_interval_s = min(0.1, settings.cluster.workers.heartbeat_interval_s / 20)
        self.round_timer: Timer | None = None
        self.slow_input_s = SLOW_INPUT_RATIO * self.node.timings.leader_ttl_s

    def start(self) -> None:
        """Listen, connect to the other members, and start the periodic tick."""
        host, port = split_address(self.settings.listen, "serve_on")
        cluster = self.settings.cluster
        # A client without a request for two lease durations is gone; others need its connection.
        factory = ApiFactory(self, self.reactor, max(30.0, 2 * cluster.workers.lease_s))
        # After controllers have crashed, all workers connect to the others at once.
        backlog = max(200, cluster.resources.max_connections)
        self.reactor.listenTCP(port, factory, backlog=backlog, interface=host)
        self.peers.start()
        fields: dict[str, object] = {"version": __version__, "listen": self.settings.listen}
        write(LogRecord(LogLevel.INFO, LogEvent.STARTED, fields))
        gc.collect()
        gc.freeze()
        # Reference counting frees most objects; the collector only has to find the few cycles.
        gc.set_threshold(20_000, 10, 20)
        self._tick()

    # -- inputs ------------------------------------------------------------------------

    def _tick(self) -> None:
        self.reactor.callLater(self.tick_interval_s, self._tick)
        self._run()

    def _run(self) -> None:
        began_at = self.now()
        try:
            self.node.tick(began_at)
        except Exception:
            logger.exception(LogEvent.TICK_FAILED)
        self._log_if_slow("tick", began_at)
        self._flush_outbox()

    def _on_frame(self, sender: str, frame: Frame) -> None:
        began_at = self.now()
        try:
            self.node.on_frame(began_at, sender, frame)
        except Exception:
            logger.exception(LogEvent.FRAME_FAILED)
        self._log_if_slow(type(frame).__name__, began_at)
        self._flush_outbox()

    def _schedule_round(self) -> None:
        """Schedule a round of the schedulers, so that inputs in quick succession share one."""
        if self.round_timer is not None:
            return
        due_at = [owner.next_round_at for owner in self.node.schedulers if owner.dirty]
        if due_at:
            delay_s = max(0.01, min(due_at) - self.now())
            self.round_timer = self.reactor.callLater(delay_s, self._run_round)

    def _run_round(self) -> None:
        self.round_timer = None
        self._run()

    def worker_heartbeat(self, request: ApiRequest, body: bytes) -> None:
        """Handle a heartbeat; answers 503 on a fault: the worker then tries the next controller."""
        began_at = self.now()
        try:
            self.node.worker_heartbeat(began_at, request, body)
        except Exception:
            logger.exception(LogEvent.WORKER_HEARTBEAT_FAILED)
            request.reply(503, b"{}")
        self._log_if_slow("worker heartbeat", began_at)
        self._flush_outbox()

    def _log_if_slow(self, kind: str, began_at: float) -> None:
        """Log an input that took longer than `SLOW_INPUT_RATIO` of the leader lease to handle."""
        elapsed_s = self.now() - began_at
        if elapsed_s > self.slow_input_s:
            fields: dict[str, object] = {"input": kind, "seconds": round(elapsed_s, 2)}
            write(LogRecord(LogLevel.INFO, LogEvent.INPUT_SLOW, fields))

    def health(self) -> tuple[int, bytes]:
        """Return status and body for the load balancer's health check."""
        if self.node.healthy(self.now()):
            return 200, b'{"ok":true}'
        return 503, b'{"ok":false}'

    def submit(self, request: ApiRequest, body: bytes) -> None:
        """Handle a user's submission of a job."""
        self.node.user_api.submit(self.now(), request, body)
        self._flush_outbox()

    def poll(self, request: ApiRequest, job_id: str) -> None:
        """Handle a user's query of a job's state."""
        self.node.user_api.poll(self.now(), request, job_id)
        self._flush_outbox()

    def cancel(self, request: ApiRequest, job_id: str) -> None:
        """Handle a user's cancellation of a job."""
        self.node.user_api.cancel(self.now(), request, job_id)
        self._flush_outbox()

    # -- outputs -----------------------------------------------------------------------

    def _flush_outbox(self) -> None:
        out = self.node.outbox
        while out.calls or out.replies or out.logs or out.frames:
            logs, out.logs = out.logs, []
            for record in logs:
                write(record)
            frames, out.frames = out.frames, []
            for member, frame in frames:
                self.peers.send(member, frame)
            replies, out.replies = out.replies, []
            for reply in replies:
                request = cast(ApiRequest, reply.request)
                request.reply(reply.status, reply.body, reply.retry_after)
            calls, out.calls = out.calls, []
            for call in calls:
                self._send(call)
        self._schedule_round()

    def _send(self, call: Call) -> None:
        def on_response(status: int, body: bytes) -> None:
            try:
                if status == NOT_SENT and call.service is not ExternalService.WORKER:
                    status = NO_ANSWER
                call.on_done(self.now(), CallOutcome(status, body))
            except Exception:
                logger.exception(LogEvent.CALL_COMPLETION_FAILED)
            self._flush_outbox()

        address = call.address or self.addresses[call.service]
        client = self.worker_client if call.service is ExternalService.WORKER else self.client
        client.call(call.method, address, call.path, call.body, call.timeout_s, on_response)


def run(settings: Settings, tuning: Tuning) -> None:
    """Run a controller until the process is stopped."""
    from twisted.internet import reactor

    service = Service(settings, tuning, reactor)
    untyped_reactor: Any = reactor
    # Timers must follow the monotonic clock, as the wall clock can jump.
    untyped_reactor.seconds = time.monotonic
    untyped_reactor.callWhenRunning(service.start)
    untyped_reactor.run(installSignalHandlers=True)
