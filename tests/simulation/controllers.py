"""The controllers' processes: start, crash, and what goes in and out of them."""

from __future__ import annotations

import json

from copperpass import settings as settings_module
from copperpass.core.node.node import Node
from copperpass.core.ports import CallOutcome
from copperpass.protocol.frames.codec import encode_frame
from copperpass.protocol.frames.stream import FrameDecoder
from tests.fakes.worker import WorkerRequest
from tests.request_bodies import raw_settings
from tests.simulation.invariants import Invariants


def no_answer(status, body):
    """Nobody gets the answer."""


class CurrentFrames:
    """Frames as this version writes and reads them."""

    encode_frame = staticmethod(encode_frame)
    frame_decoder = FrameDecoder


class Controllers(Invariants):
    """Processes of this or an earlier version, one for each member at a time."""

    def boot(self, name):
        self.incarnation[name] += 1
        index = self.node_names.index(name)
        raw = raw_settings(
            index,
            len(self.node_names),
            self.lease_s,
            self.cancel_s,
            self.controller_cores,
            self.next_limits,
            self.gang_wait_s,
            self.gang_peer_s,
            self.deployment,
        )
        seed, version = self.rng.getrandbits(32), self.versions.get(name)
        self.running_versions[name] = version
        if version is not None:
            self.nodes[name] = version.create_node(raw, seed, self.now)
        else:
            self.nodes[name] = Node(
                settings_module.parse(raw), seed, self.now, wall_clock_offset=1000.0
            )
        self.tick(name, self.incarnation[name])

    def crash(self, name, back_after=2.0):
        self.nodes.pop(name, None)
        self.incarnation[name] += 1
        life = self.incarnation[name]
        self.after(back_after, lambda: self.incarnation[name] == life and self.boot(name))

    def tick(self, name, life):
        if self.incarnation[name] == life and name in self.nodes:
            self.nodes[name].tick(self.now)
            self.process_outbox(name)
            self.after(0.05, lambda: self.tick(name, life))

    def deliver_late_heartbeat(self, name, body):
        """A late copy of a report: nobody waits for the answer."""
        if name in self.nodes:
            self.nodes[name].worker_heartbeat(
                self.now, WorkerRequest(lambda status, body: None), body
            )
            self.process_outbox(name)

    def maybe_duplicate_heartbeat(self, name, body):
        """A copy of a report may come again, from seconds to well over a lease later."""
        if self.late_heartbeats and self.rng.random() < self.late_heartbeats:
            self.after(
                self.rng.uniform(2.0, 2.5 * self.lease_s),
                lambda: self.deliver_late_heartbeat(name, body),
            )

    def deliver_heartbeat(self, sender, name, body, reply):
        if sender in self.outbound_blocked:
            self.after(0.5, lambda: reply(0, b"{}"))
            return

        def arrive():
            node = self.nodes.get(name)
            if node is None:
                reply(0, b"{}")
                return
            asker = WorkerRequest(
                lambda status, body: self.deliver(
                    name, sender, lambda: reply(status, body), back=True
                )
            )
            node.worker_heartbeat(self.now, asker, body)
            self.process_outbox(name)

        self.deliver(sender, name, arrive)

    def inventory_records(self):
        """The fleet's records that count: the one record while it exists, else the pages."""
        data = self.kvstore.data
        keys = ["c/fleet"] if "c/fleet" in data else [k for k in data if k.startswith("c/fleet/")]
        return [data[key][0] for key in keys]

    def process_outbox(self, name):
        node, life = self.nodes.get(name), self.incarnation[name]
        if node is None:
            return
        out = node.out
        out.logs.clear()
        for reply in out.replies:
            self.report_output(name, "reply", reply.status, reply.body, reply.retry_after)
            user = reply.request
            if isinstance(user, WorkerRequest):
                user.answer(reply.status, reply.body)
                continue
            user.status, user.retry_after = reply.status, reply.retry_after
            user.body = json.loads(reply.body)
            self.check_answer(user, name)
        out.replies.clear()
        frames, out.frames = out.frames, []
        codec = self.running_versions[name] or CurrentFrames
        for member, frame in frames:
            # Versions meet as bytes; among equals the way there and back changes nothing.
            sent = codec.encode_frame(frame) if self.mixed_versions else frame
            if self.on_output:
                self.report_output(name, "frame", member, codec.encode_frame(frame))
            self.deliver_frame(
                name, member, lambda m=member, f=sent: self.receive_frame(name, m, f)
            )
        calls, out.calls = out.calls, []
        for call in calls:
            self.report_output(
                name,
                str(call.service),
                call.address,
                call.method,
                call.path,
                call.body,
                call.timeout_s,
            )
            self.send_call(name, life, call)

    def report_output(self, name, kind, *parts):
        if self.on_output:
            self.on_output(self.now, name, kind, *parts)

    def receive_frame(self, sender, member, frame):
        node = self.nodes.get(member)
        if node:
            codec = self.running_versions[member] or CurrentFrames
            frames = codec.frame_decoder().feed(frame) if self.mixed_versions else [frame]
            for one in frames:
                node.on_frame(self.now, sender, one)
            self.process_outbox(member)

    def send_call(self, name, life, call):
        over = []

        def finish(status, body):
            if over:
                return
            over.append(True)
            if self.incarnation[name] == life and name in self.nodes:
                call.on_done(self.now, CallOutcome(status, body))
                self.process_outbox(name)

        def reply(status, body):
            self.deliver(name, call.address or call.service, lambda: finish(status, body))

        def arrive():
            if call.service == "state":
                self.serve_kvstore_call(name, call, reply)
            elif call.service == "cloud":
                self.cloud.handle(call.method, call.path, call.body, reply)
            elif self.late_commands and self.rng.random() < self.late_commands:
                self.after(
                    self.rng.uniform(2.0, 16.0), lambda: self.deliver_command(call, no_answer)
                )
            else:
                self.deliver_command(call, reply)

        self.deliver(name, call.address or call.service, arrive)
        self.after(call.timeout_s, lambda: finish(0, b""))

    def serve_kvstore_call(self, name, call, reply):
        """Have the state service carry a request out, as the failures of the moment let it."""
        request = (call.method, call.path, call.body)
        is_transaction = call.path == "/multi"
        if name in self.kvstore_refuses:
            reply(503, b"{}")
        elif is_transaction and self.late_writes and self.rng.random() < self.late_writes:
            # No answer, and carried out late, after newer ones.
            self.after(
                self.rng.uniform(2.0, 12.0), lambda: self.kvstore.handle(*request, no_answer)
            )
        elif is_transaction and self.lost_answers and self.rng.random() < self.lost_answers:
            # Carried out at once, and only the answer is lost.
            self.kvstore.handle(*request, no_answer)
        elif self.kvstore_delay_s:
            self.after(
                self.rng.uniform(0.0, self.kvstore_delay_s),
                lambda: self.kvstore.handle(*request, reply),
            )
        elif not (name in self.watches_blocked and call.path.startswith(("/follow", "/kv?"))):
            self.kvstore.handle(*request, reply, name)

    def deliver_command(self, call, reply):
        machine = self.cloud.machines.get(call.address)
        if machine and machine["worker"]:
            machine["worker"].on_command(call.body, reply)

    def leader(self):
        leading = [n for n, node in self.nodes.items() if node.election.has_authority(self.now)]
        assert len(leading) <= 1, f"two authorities: {leading}"
        return leading[0] if leading else None
