"""HTTP/1.1 server and client of the stand-ins, on asyncio."""

import asyncio
import json
import urllib.parse

DROP = "drop"  # A handler returns this to close the connection unanswered.


class Request:
    def __init__(self, method, target, headers, body):
        parts = urllib.parse.urlsplit(target)
        self.method = method
        self.path = urllib.parse.unquote(parts.path)
        self.query = dict(
            urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)


async def read_message(reader):
    """Returns the first line, the headers and the body; None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    body = await reader.readexactly(size) if size else b""
    return lines[0], headers, body


class Server:
    """Calls handler(request), which returns DROP or (status, value)."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.writers = set()
        self.is_dark = False
        self.dead = set()  # Connections on which nothing is answered.

    async def start(self, host, port=0):
        # `reuse_address` lets a server that starts again take its old port.
        self.server = await asyncio.start_server(
            self._serve, host, port, limit=4 << 20, reuse_address=True)
        return self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        if self.is_dark:
            self.dead.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                if writer in self.dead:
                    continue
                method, target = line.split(" ")[:2]
                answer = await self.handler(
                    Request(method, target, headers, body))
                if writer in self.dead:
                    continue
                if answer == DROP:
                    break
                status, value = answer
                data = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} x\r\nContent-Type: application/json"
                    f"\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            self.dead.discard(writer)
            writer.close()

    def set_dark(self, is_dark):
        """Like a machine without power: nothing is answered on connections
        from before and from meanwhile, and nothing of it is received."""
        self.is_dark = is_dark
        if is_dark:
            self.dead |= self.writers

    def stop(self):
        """Ends like a killed process: resets every connection."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


async def call(address, method, target, headers=None, value=None, limit_s=4):
    """Sends one request over a new connection.

    Returns (status, value), and (None, reason) without an answer."""
    host, port = address.rsplit(":", 1)
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(
            host, int(port), limit=4 << 20)
        data = b"" if value is None else json.dumps(value).encode()
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {text}" for name, text in (headers or {}).items()]
        if value is not None:
            lines.append("Content-Type: application/json")
        lines.append(f"Content-Length: {len(data)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
        line, _, body = await read_message(reader)
        status = int(line.split(" ")[1])
        try:
            return status, json.loads(body) if body else None
        except ValueError:
            return status, None

    try:
        return await asyncio.wait_for(exchange(), limit_s)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError,
            ConnectionError, OSError) as e:
        return None, type(e).__name__
    finally:
        if writer:
            writer.close()
