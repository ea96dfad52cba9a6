"""HTTP calls and a small HTTP server for the stand-ins."""

import asyncio


async def http_call(host, port, method, path, body="", timeout=1.0):
    """Returns (status, headers, body), or (0, {}, "") without an answer."""
    try:
        return await asyncio.wait_for(
            _call(host, port, method, path, body), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            ValueError, IndexError):
        return 0, {}, ""


async def _call(host, port, method, path, body):
    reader, writer = await asyncio.open_connection(host, port)
    try:
        data = body.encode()
        writer.write((f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
                      "Content-Type: application/json\r\n"
                      f"Content-Length: {len(data)}\r\n"
                      "Connection: close\r\n\r\n").encode() + data)
        line, headers, text = await read_message(reader)
        return int(line.split(" ")[1]), headers, text
    finally:
        writer.close()


async def read_message(reader):
    """Returns the first line, the headers by lower-case name, and the body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    return head[0], headers, (await reader.readexactly(length)).decode()


async def serve_http(host, port, handler, listener=None):
    """handler(method, path, headers, body) returns (status, body)."""

    async def connection(reader, writer):
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, path, _ = line.split(" ")
                status, text = await handler(method, path, headers, body)
                data = text.encode()
                writer.write((f"HTTP/1.1 {status} X\r\n"
                              "Content-Type: application/json\r\n"
                              f"Content-Length: {len(data)}\r\n\r\n"
                              ).encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    if listener is not None:
        return await asyncio.start_server(connection, sock=listener)
    return await asyncio.start_server(connection, host, port)
