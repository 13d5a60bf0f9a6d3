"""The reactor side over real loopback sockets, and the command line in a process of its own."""

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

# Some tests look for a port that is free and then use it: one process runs them all.
pytestmark = pytest.mark.xdist_group("sockets")

ROOT = pathlib.Path(__file__).parent.parent


def on_reactor(reactor, action):
    done, result = threading.Event(), []

    def run():
        result.append(action())
        done.set()

    reactor.callFromThread(run)
    assert done.wait(10)
    return result[0]


def wait_for(wanted, seconds=10.0):
    end = time.monotonic() + seconds
    while not wanted() and time.monotonic() < end:
        time.sleep(0.01)
    assert wanted()


class FakeService:
    """Answers in a way that shows what it was asked."""

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
    port = on_reactor(
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
    on_reactor(reactor, port.stopListening)


def test_routes_on_one_kept_connection(api):
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
def test_an_oversize_body_is_refused_from_memory(api, monkeypatch, chunked, size):
    # Guards against temporary files (there is no disk) and against holding the whole of a body.
    monkeypatch.setattr(tempfile, "TemporaryFile", None)
    body = iter([b" " * 10_000] * (size // 10_000)) if chunked else b" " * size
    assert api("POST", "/api/jobs", body)[:2] == (400, b"65537")
    assert api("GET", "/healthz")[0] == 200


def test_no_more_of_a_body_is_kept_than_shows_that_it_is_too_large():
    body = BoundedBody()
    for _ in range(10):
        assert body.write(b"x" * 10_000) == 10_000
    assert len(body.getvalue()) == 65_537


def test_client_answers_once_and_by_its_deadline(reactor):
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

        on_reactor(reactor, send)

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
    # A thousand workers with one idle connection each would take the sockets of those who come in.
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
        on_reactor(
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


def test_peers_talk_and_drop_strangers(reactor):
    ports = []
    for _ in range(2):
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            ports.append(probe.getsockname()[1])
    got = []
    addresses = [f"127.0.0.1:{p}" for p in ports]
    first = PeerLinks(reactor, "n0", addresses[0], {"n1": addresses[1]}, lambda *a: None, 0.05)
    second = PeerLinks(
        reactor,
        "n1",
        addresses[1],
        {"n0": addresses[0]},
        lambda sender, frame: got.append((sender, frame)),
        0.05,
    )
    on_reactor(reactor, second.start)
    on_reactor(reactor, first.start)
    wait_for(lambda: first.outgoing["n1"].link is not None)
    on_reactor(reactor, lambda: first.send("n1", LeaseExtensionRequest(4, 5)))
    wait_for(lambda: got == [("n0", LeaseExtensionRequest(4, 5))])
    for data in (
        b"GET / HTTP/1.1\r\n\r\n",
        encode_frame(LeaseExtensionRequest(9, 9)),
        encode_frame(Hello("nobody")),
    ):
        with socket.create_connection(("127.0.0.1", ports[1]), 10) as stranger:
            stranger.sendall(data)
            with contextlib.suppress(ConnectionResetError):
                assert stranger.recv(1) == b""
    assert got == [("n0", LeaseExtensionRequest(4, 5))]
    # The link of the known member lives on.
    on_reactor(reactor, lambda: first.send("n1", LeaseExtensionRequest(4, 6)))
    wait_for(lambda: len(got) == 2)


def test_a_link_that_takes_no_bytes_drops_frames_and_is_made_anew(reactor):
    # A cut that holds packets back for minutes must not fill the memory of the sender.
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    deaf = socket.create_server(("127.0.0.1", port))
    peers = PeerLinks(
        reactor, "n0", f"127.0.0.1:{port}", {"n1": f"127.0.0.1:{port}"}, lambda *a: None, 0.02
    )
    link = peers.outgoing["n1"]
    on_reactor(reactor, link.connect)
    wait_for(lambda: link.link is not None)
    first, frame = link.link, RelayedHeartbeat(1, b"x" * 60000)
    sent = []

    def send():
        sent.append(len(frame.body))
        peers.send("n1", frame)

    def stuck():
        on_reactor(reactor, send)
        return first.blocked_since is not None

    wait_for(stuck)
    held = sum(sent)
    for _ in range(100):
        on_reactor(reactor, send)
    # What waits in the process stays what it was when the link got stuck, whatever is sent.
    assert (
        sum(sent) > held
        and len(first.transport.dataBuffer) + sum(map(len, first.transport._tempDataBuffer))
        < 4 * 65536
    )
    wait_for(lambda: on_reactor(reactor, send) or link.link not in (first, None))
    link._reconnect_later = lambda: None
    deaf.close()


def toml(raw):
    s = raw["settings"]
    lines = [f'{k} = "{raw[k]}"' for k in ("member", "domain", "serve_on", "internal_addr")]
    for m in raw["members"]:
        lines += ["[[members]]"] + [f'{k} = "{v}"' for k, v in m.items()]
    lines += ["[external]"] + [f'{k} = "{v}"' for k, v in raw["external"].items()]
    lines += ["[settings]", f"zones = {json.dumps(s['zones'])}"]
    for name in ("teams", "objectives"):
        for entry in s[name]:
            lines += [f"[[settings.{name}]]"] + [f"{k} = {json.dumps(v)}" for k, v in entry.items()]
    for name in ("workers", "state", "cloud"):
        lines += [f"[settings.{name}]"] + [f"{k} = {v}" for k, v in s[name].items()]
    return "\n".join(lines)


def run(*args):
    return subprocess.run(
        [sys.executable, str(ROOT / "run.py"), *args], capture_output=True, text=True, timeout=60
    )


def test_command_line_checks_settings(tmp_path):
    good = toml(raw_settings())
    config, operator = tmp_path / "c.toml", tmp_path / "o.txt"
    config.write_text(good)
    assert run("--config", str(config), "--check").returncode == 0
    assert run("--version").stdout.startswith("copperpass ")
    for broken, word in (
        (good.replace("lease_s = 12.0", ""), "lease_s"),
        (good.replace("lease_s = 12.0", 'lease_s = "x"'), "lease_s"),
        (good.replace("cpus = 32.0", "cpus = -1.0"), "red"),
        (good.replace("127.0.0.1:9000", "nonsense"), "serve_on"),
        ("member = ", "TOML"),
    ):
        config.write_text(broken)
        result = run("--config", str(config))
        assert result.returncode == 2 and word in result.stderr
        assert result.stderr.count("\n") == 1
    config.write_text(good)
    for text, word in (
        ("idle_boots: 0.7", ""),
        ("bogus: 1", "bogus"),
        ("silence_reports: 0.1", "silence_reports"),
    ):
        operator.write_text(text)
        result = run("--config", str(config), "--operator", str(operator), "--check")
        assert result.returncode == (2 if word else 0) and word in result.stderr
