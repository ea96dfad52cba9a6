"""Loopback plumbing of the soak: HTTP calls, a small HTTP server, and a proxy
that misbehaves on command."""

import asyncio


async def http_call(host, port, method, path, body="", timeout=1.5):
    """(status, headers, body); (0, {}, "") when there was no answer."""
    try:
        return await asyncio.wait_for(
            _http_call(host, port, method, path, body), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            ValueError, IndexError):
        return 0, {}, ""


async def _http_call(host, port, method, path, body):
    reader, writer = await asyncio.open_connection(host, port)
    try:
        data = body.encode()
        writer.write((f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
                      "Content-Type: application/json\r\n"
                      f"Content-Length: {len(data)}\r\n"
                      "Connection: close\r\n\r\n").encode() + data)
        status, headers, text = await read_message(reader)
        return int(status.split(" ")[1]), headers, text
    finally:
        writer.close()


async def read_message(reader):
    """First line, headers in lower case and body of an HTTP message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    return head[0], headers, (await reader.readexactly(length)).decode()


async def serve_http(host, port, handle):
    """handle(method, path, headers, body) -> (status, body), a coroutine."""

    async def connection(reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, path, _ = first.split(" ")
                status, text = await handle(method, path, headers, body)
                data = text.encode()
                writer.write((f"HTTP/1.1 {status} X\r\n"
                              "Content-Type: application/json\r\n"
                              f"Content-Length: {len(data)}\r\n\r\n"
                              ).encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass  # The peer has left.
        finally:
            writer.close()

    return await asyncio.start_server(connection, host, port)


class Proxy:
    """Passes bytes between its listener and a target. Faults hold until they
    are taken back and act on open connections too."""

    def __init__(self, host, port, target):
        self.address = (host, port)
        self.target = target
        self.delay = 0.0
        self.lost = set()  # of "in", "out": bytes of that way disappear
        self.refusing = False
        self._server = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(
            self._accept, *self.address)

    def reset(self):
        for writer in list(self._writers):
            writer.transport.abort()

    def heal(self):
        # Bytes were lost: what is open cannot go on.
        if self.lost:
            self.reset()
        self.delay = 0.0
        self.lost = set()
        self.refusing = False

    async def close(self):
        self.reset()
        self._server.close()

    async def _accept(self, reader, writer):
        if self.refusing:
            writer.transport.abort()
            return
        try:
            back_reader, back = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, back}
        await asyncio.gather(self._pump(reader, back, "in"),
                             self._pump(back_reader, writer, "out"))
        self._writers -= {writer, back}

    async def _pump(self, reader, writer, way):
        try:
            while data := await reader.read(65536):
                if self.delay:
                    await asyncio.sleep(self.delay)
                if way in self.lost:
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            pass  # Reset by either side.
        finally:
            writer.close()
