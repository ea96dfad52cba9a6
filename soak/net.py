"""Network helpers of the soak: HTTP calls, a small HTTP server, and a TCP proxy
that injects network faults."""

import asyncio


async def cancel_all(tasks):
    """Cancels tasks until all have ended."""
    # wait_for() may drop a cancellation that arrives as its wait ends.
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=1)


async def http_call(host, port, method, path, body="", timeout=1.5):
    """Returns (status, headers, body), or (0, {}, "") without an answer."""
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
    """Reads an HTTP message.

    Returns its first line, its headers by lower-case name, and its body.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    return head[0], headers, (await reader.readexactly(length)).decode()


async def serve_http(host, port, handler):
    """Serves HTTP with the coroutine handler.

    handler(method, path, headers, body) returns (status, body).
    """

    async def connection(reader, writer):
        try:
            while True:
                request_line, headers, body = await read_message(reader)
                method, path, _ = request_line.split(" ")
                status, response_body = await handler(method, path, headers,
                                                      body)
                data = response_body.encode()
                writer.write((f"HTTP/1.1 {status} X\r\n"
                              "Content-Type: application/json\r\n"
                              f"Content-Length: {len(data)}\r\n\r\n"
                              ).encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass  # The peer closed the connection.
        finally:
            writer.close()

    return await asyncio.start_server(connection, host, port)


class Proxy:
    """Forwards bytes between its listener and a target.

    Faults act on open connections too, until restore() removes them.
    """

    def __init__(self, host, port, target):
        self.address = (host, port)
        self.target = target
        self.delay = 0.0
        self.dropped_directions = set()  # "in", "out": bytes are discarded
        self.refuses_connections = False
        self._server = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve_connection, *self.address)

    def reset(self):
        for writer in list(self._writers):
            writer.transport.abort()

    def restore(self):
        # Open connections cannot continue after bytes were discarded.
        if self.dropped_directions:
            self.reset()
        self.delay = 0.0
        self.dropped_directions = set()
        self.refuses_connections = False

    async def close(self):
        self.reset()
        self._server.close()

    async def _serve_connection(self, reader, writer):
        if self.refuses_connections:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                *self.target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        await asyncio.gather(self._forward(reader, target_writer, "in"),
                             self._forward(target_reader, writer, "out"))
        self._writers -= {writer, target_writer}

    async def _forward(self, reader, writer, direction):
        try:
            while data := await reader.read(65536):
                if self.delay:
                    await asyncio.sleep(self.delay)
                if direction in self.dropped_directions:
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            pass  # Reset by either side.
        finally:
            writer.close()
