"""The network code on real loopback sockets, and the command line in a separate process."""

import contextlib
import http.client
import http.server
import json
import pathlib
import socket
import subprocess
import sys
import tempfile
import threading
import time

import pytest

from copperpass.core.ports import NOT_SENT
from copperpass.net.client import HttpClient
from copperpass.net.peers import PeerLinks
from copperpass.net.server import ApiFactory, BoundedBody
from copperpass.protocol.frames.codec import encode_frame
from copperpass.protocol.frames.messages import Hello, LeaseExtensionRequest, RelayedHeartbeat
from tests.request_bodies import raw_settings

# Some tests look for a free port and then use it, so one process must run all of them.
pytestmark = pytest.mark.xdist_group("sockets")

ROOT = pathlib.Path(__file__).parent.parent


def call_on_reactor(reactor, function):
    done, result = threading.Event(), []

    def call():
        result.append(function())
        done.set()

    reactor.callFromThread(call)
    assert done.wait(10)
    return result[0]


def wait_for(condition, timeout_s=10.0):
    deadline = time.monotonic() + timeout_s
    while not condition() and time.monotonic() < deadline:
        time.sleep(0.01)
    assert condition()


class FakeService:
    """Answers each request with the arguments that it was called with."""

    def worker_heartbeat(self, request, body):
        request.reply(421, json.dumps({"editor": body.decode()}).encode())

    def health(self):
        return 200, b"{}"

    def submit(self, request, body):
        request.reply(400 if len(body) > 65536 else 503, str(len(body)).encode(), 3)

    def poll(self, request, job_id):
        request.reply(200, json.dumps({"id": job_id}).encode())

    def cancel(self, request, job_id):
        request.reply(200, json.dumps({"cancel": job_id}).encode())


@pytest.fixture
def api(reactor):
    port = call_on_reactor(
        reactor,
        lambda: reactor.listenTCP(
            0, ApiFactory(FakeService(), reactor, 30.0), interface="127.0.0.1"
        ),
    )
    connection = http.client.HTTPConnection("127.0.0.1", port.getHost().port, timeout=10)

    def ask(method, path, body=None):
        connection.request(method, path, body)
        response = connection.getresponse()
        return response.status, response.read(), response

    yield ask
    connection.close()
    call_on_reactor(reactor, port.stopListening)


def test_requests_are_routed_on_one_persistent_connection(api):
    assert api("GET", "/healthz")[0] == 200
    assert api("GET", "/api/jobs/req-000001")[1] == b'{"id": "req-000001"}'
    assert api("POST", "/api/jobs/req-000001/cancel", b"")[1] == b'{"cancel": "req-000001"}'
    assert api("POST", "/v1/report", b"n2")[:2] == (421, b'{"editor": "n2"}')
    assert api("GET", "/nowhere")[0] == 404
    assert api("GET", "/api/jobs/a/b")[0] == 404
    assert api("DELETE", "/api/jobs/req-000001")[0] == 405
    status, _, response = api("GET", "/api/jobs")
    assert (status, response.headers["Allow"]) == (405, "POST")
    status, _, response = api("POST", "/api/jobs", b"{}")
    assert (status, response.headers["Retry-After"]) == (503, "3")


@pytest.mark.parametrize("size", [70_000, 3_000_000])
@pytest.mark.parametrize("chunked", [False, True])
def test_oversized_body_is_rejected_without_a_temporary_file(api, monkeypatch, chunked, size):
    # Guards against temporary files (there is no disk) and against a whole body in memory.
    monkeypatch.setattr(tempfile, "TemporaryFile", None)
    body = iter([b" " * 10_000] * (size // 10_000)) if chunked else b" " * size
    assert api("POST", "/api/jobs", body)[:2] == (400, b"65537")
    assert api("GET", "/healthz")[0] == 200


def test_bounded_body_keeps_one_byte_beyond_the_limit():
    body = BoundedBody()
    for _ in range(10):
        assert body.write(b"x" * 10_000) == 10_000
    assert len(body.getvalue()) == 65_537


def test_client_reports_one_outcome_per_request_by_its_deadline(reactor):
    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def do_POST(self):
            body = self.rfile.read(int(self.headers["Content-Length"]))
            self.send_response(409)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *args):
            pass

    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    silent = socket.create_server(("127.0.0.1", 0))
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        closed = unused.getsockname()[1]
    answers = {}
    client = HttpClient(reactor, 2, 8)

    def ask(name, port, timeout):
        def send():
            client.call(
                "POST",
                f"127.0.0.1:{port}",
                "/x",
                b'{"a":1}',
                timeout,
                lambda status, body: answers.setdefault(name, []).append((status, body)),
            )

        call_on_reactor(reactor, send)

    ask("good", server.server_port, 10.0)
    ask("silent", silent.getsockname()[1], 0.2)
    ask("closed", closed, 10.0)
    wait_for(lambda: len(answers) == 3)
    assert answers == {
        "good": [(409, b'{"a":1}')],
        "silent": [(0, b"")],
        "closed": [(NOT_SENT, b"")],
    }
    server.shutdown()
    silent.close()


def test_idle_connections_to_many_workers_are_bounded(reactor):
    # With a thousand workers, one idle connection to each would use up the sockets needed for
    # incoming connections.
    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def do_GET(self):
            self.send_response(200)
            self.send_header("Content-Length", "0")
            self.end_headers()

        def log_message(self, *args):
            pass

    servers = [http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler) for _ in range(6)]
    for server in servers:
        threading.Thread(target=server.serve_forever, daemon=True).start()
    client, answers = HttpClient(reactor, 1, 3), []

    def ask(server):
        call_on_reactor(
            reactor,
            lambda: client.call(
                "GET",
                f"127.0.0.1:{server.server_port}",
                "/x",
                b"",
                10.0,
                lambda status, body: answers.append(status),
            ),
        )

    for number, server in enumerate([*servers, servers[-1]], 1):
        ask(server)
        wait_for(lambda number=number: len(answers) == number)
        wait_for(lambda: client.pool.idle >= 1)
        assert client.pool.idle <= 3
    assert answers == [200] * 7 and client.pool.idle == 3
    for server in servers:
        server.shutdown()


def test_frames_reach_the_peer_and_links_without_known_sender_are_closed(reactor):
    ports = []
    for _ in range(2):
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            ports.append(probe.getsockname()[1])
    received = []
    addresses = [f"127.0.0.1:{port}" for port in ports]
    first = PeerLinks(reactor, "n0", addresses[0], {"n1": addresses[1]}, lambda *a: None, 0.05)
    second = PeerLinks(
        reactor,
        "n1",
        addresses[1],
        {"n0": addresses[0]},
        lambda sender, frame: received.append((sender, frame)),
        0.05,
    )
    call_on_reactor(reactor, second.start)
    call_on_reactor(reactor, first.start)
    wait_for(lambda: first.outgoing["n1"].link is not None)
    call_on_reactor(reactor, lambda: first.send("n1", LeaseExtensionRequest(4, 5)))
    wait_for(lambda: received == [("n0", LeaseExtensionRequest(4, 5))])
    for data in (
        b"GET / HTTP/1.1\r\n\r\n",
        encode_frame(LeaseExtensionRequest(9, 9)),
        encode_frame(Hello("nobody")),
    ):
        with socket.create_connection(("127.0.0.1", ports[1]), 10) as stranger:
            stranger.sendall(data)
            with contextlib.suppress(ConnectionResetError):
                assert stranger.recv(1) == b""
    assert received == [("n0", LeaseExtensionRequest(4, 5))]
    # The link of the known member stays open.
    call_on_reactor(reactor, lambda: first.send("n1", LeaseExtensionRequest(4, 6)))
    wait_for(lambda: len(received) == 2)


def test_blocked_link_drops_frames_and_reconnects(reactor):
    # Guards against a network partition that holds packets back for minutes and so fills the memory
    # of the sender.
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    unread_server = socket.create_server(("127.0.0.1", port))
    peers = PeerLinks(
        reactor, "n0", f"127.0.0.1:{port}", {"n1": f"127.0.0.1:{port}"}, lambda *a: None, 0.02
    )
    factory = peers.outgoing["n1"]
    call_on_reactor(reactor, factory.connect)
    wait_for(lambda: factory.link is not None)
    blocked_link, frame = factory.link, RelayedHeartbeat(1, b"x" * 60000)
    sent = []

    def send():
        sent.append(len(frame.body))
        peers.send("n1", frame)

    def blocked_after_send():
        call_on_reactor(reactor, send)
        return blocked_link.blocked_since is not None

    wait_for(blocked_after_send)
    sent_until_blocked = sum(sent)
    for _ in range(100):
        call_on_reactor(reactor, send)
    # Frames sent after the link was blocked do not add to the bytes that the process buffers.
    assert (
        sum(sent) > sent_until_blocked
        and len(blocked_link.transport.dataBuffer)
        + sum(map(len, blocked_link.transport._tempDataBuffer))
        < 4 * 65536
    )
    wait_for(lambda: call_on_reactor(reactor, send) or factory.link not in (blocked_link, None))
    factory._reconnect_later = lambda: None
    unread_server.close()


def to_toml(raw):
    settings = raw["settings"]
    lines = [f'{k} = "{raw[k]}"' for k in ("member", "domain", "serve_on", "internal_addr")]
    for member in raw["members"]:
        lines += ["[[members]]"] + [f'{k} = "{v}"' for k, v in member.items()]
    lines += ["[external]"] + [f'{k} = "{v}"' for k, v in raw["external"].items()]
    lines += ["[settings]", f"zones = {json.dumps(settings['zones'])}"]
    for name in ("teams", "objectives"):
        for entry in settings[name]:
            lines += [f"[[settings.{name}]]"] + [f"{k} = {json.dumps(v)}" for k, v in entry.items()]
    for name in ("workers", "state", "cloud"):
        lines += [f"[settings.{name}]"] + [f"{k} = {v}" for k, v in settings[name].items()]
    return "\n".join(lines)


def run_program(*args):
    return subprocess.run(
        [sys.executable, str(ROOT / "run.py"), *args],
        capture_output=True,
        text=True,
        timeout=60,
    )


def test_command_line_checks_settings(tmp_path):
    good = to_toml(raw_settings())
    config, operator = tmp_path / "c.toml", tmp_path / "o.txt"
    config.write_text(good)
    assert run_program("--config", str(config), "--check").returncode == 0
    assert run_program("--version").stdout.startswith("copperpass ")
    for broken, word in (
        (good.replace("lease_s = 12.0", ""), "lease_s"),
        (good.replace("lease_s = 12.0", 'lease_s = "x"'), "lease_s"),
        (good.replace("cpus = 32.0", "cpus = -1.0"), "red"),
        (good.replace("127.0.0.1:9000", "nonsense"), "serve_on"),
        ("member = ", "TOML"),
    ):
        config.write_text(broken)
        result = run_program("--config", str(config))
        assert result.returncode == 2 and word in result.stderr
        assert result.stderr.count("\n") == 1
    config.write_text(good)
    for text, word in (
        ("idle_boots: 0.7", ""),
        ("bogus: 1", "bogus"),
        ("silence_reports: 0.1", "silence_reports"),
    ):
        operator.write_text(text)
        result = run_program("--config", str(config), "--operator", str(operator), "--check")
        assert result.returncode == (2 if word else 0) and word in result.stderr
