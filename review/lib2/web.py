"""A small HTTP/1.1 server and client on asyncio, for the stand-ins of the cases."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from typing import Any


async def read_message(reader: asyncio.StreamReader) -> Any:
    """Read one request or response; return its first line, its headers and its body."""
    first = (await reader.readline()).decode("latin-1").strip()
    if not first:
        raise ConnectionError("closed")
    headers = {}
    while line := (await reader.readline()).decode("latin-1").strip():
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readline()
        await reader.readline()
        return first, headers, b"".join(parts)
    return first, headers, await reader.readexactly(int(headers.get("content-length", 0)))


class Server:
    """Serves one loopback port; `handle(method, path, body)` returns (status, value) or None.

    None closes the connection without an answer.
    """

    def __init__(self, handle: Callable[..., Awaitable[Any]]) -> None:
        self.handle, self.server, self.port, self.writers = handle, None, 0, set()

    async def start(self, port: int = 0) -> Any:
        """Listen; return the port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    def stop(self) -> None:
        """Close the port and all connections, as a machine that is gone."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                first, _, body = await read_message(reader)
                method, path, _ = first.split(" ")
                answer = await self.handle(method, path, body)
                if answer is None:
                    break
                status, value = answer
                payload = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} -\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(payload)}\r\n\r\n".encode()
                    + payload
                )
                await writer.drain()
        except (OSError, ValueError, EOFError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Client:
    """Keeps a connection to each port; a request that fails or is late closes its connection."""

    def __init__(self) -> None:
        self.connections = {}

    async def request(
        self, port: int, method: str, path: str, value: Any = None, timeout_s: float | None = 5.0
    ) -> Any:
        """Return (status, value, headers); the status is 0 without an answer."""
        body = b"" if value is None else json.dumps(value).encode()
        head = f"{method} {path} HTTP/1.1\r\nhost: 127.0.0.1\r\ncontent-length: {len(body)}\r\n\r\n"
        pair = self.connections.pop(port, None)
        try:
            async with asyncio.timeout(timeout_s):
                if pair is None or pair[1].is_closing() or pair[0].at_eof():
                    pair = await asyncio.open_connection("127.0.0.1", port)
                pair[1].write(head.encode() + body)
                first, headers, answer = await read_message(pair[0])
                self.connections[port] = pair
                return int(first.split(" ")[1]), json.loads(answer or b"{}"), headers
        except (OSError, ValueError, EOFError, TimeoutError, asyncio.IncompleteReadError):
            if pair is not None:
                with contextlib.suppress(OSError):
                    pair[1].transport.abort()
            return 0, {}, {}

    def close(self) -> None:
        """Close all connections."""
        for _, writer in self.connections.values():
            writer.transport.abort()
        self.connections.clear()
