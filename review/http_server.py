"""A small HTTP/1.1 server for stand-ins, on asyncio and the standard library."""

import asyncio
from urllib.parse import parse_qsl, urlsplit

MAX_HEAD_BYTES = 65_536


class Request:
    """A request as the server received it; header names are in lower case."""

    __slots__ = ("method", "target", "headers", "body", "peer")

    def __init__(self, method, target, headers, body, peer):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.peer = peer

    @property
    def path(self):
        """Return the target without the query."""
        return urlsplit(self.target).path

    @property
    def query(self):
        """Return the fields of the query."""
        return dict(parse_qsl(urlsplit(self.target).query, keep_blank_values=True))


def parse_head(data):
    """Return the first line and the header fields of a message head."""
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunked(reader):
    """Return a chunked body."""
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if not size:
            return body


async def read_request(reader, peer):
    """Return the next Request of a connection, or None at its end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first_line, headers = parse_head(data)
    method, target, _ = first_line.split(" ")
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        body = await read_chunked(reader)
    return Request(method, target, headers, body, peer)


def head(status, headers=(), length=None):
    """Return the head of a response; without `length` the body is not framed."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def respond(writer, status, body=b"", headers=()):
    """Write a whole response with a length."""
    writer.write(head(status, headers, len(body)) + body)


async def start_server(host, port, handle):
    """Serve `handle(request, writer)`, which returns whether to keep the connection."""

    async def serve(reader, writer):
        peer = writer.get_extra_info("peername")
        try:
            while (request := await read_request(reader, peer)) is not None:
                if not await handle(request, writer):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve, host, port, limit=MAX_HEAD_BYTES * 4)
