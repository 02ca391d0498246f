"""A client of one request: reads the answer with its framing."""

import asyncio

from review.harness.http_server import parse_head


class Answer:
    """What a client read: `status` is None without an answer.

    `end` says how the answer ended: "complete" by its own framing, "closed" by an
    orderly close of an answer without framing, "reset" or "cut" before its end, or
    "timeout".
    """

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.end = "cut"

    @property
    def looks_complete(self):
        """Return whether the client has to take the answer for a whole one."""
        return self.end in ("complete", "closed")


def encode_request(method, path, host, headers, body):
    """Return the bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def _read(reader, answer, on_body):
    first_line, answer.headers = parse_head(await reader.readuntil(b"\r\n\r\n"))
    answer.status = int(first_line.split(" ")[1])
    if answer.headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            answer.body += await reader.readexactly(size)
            on_body(answer)
            await reader.readexactly(2)
            if not size:
                answer.end = "complete"
                return
    if "content-length" in answer.headers:
        length = int(answer.headers["content-length"])
        answer.body = await reader.readexactly(length)
        answer.end = "complete"
        return
    while data := await reader.read(65_536):
        answer.body += data
        on_body(answer)
    answer.end = "closed"


async def ask(router, method, path, host, headers, body=b"", timeout=10, on_body=None):
    """Send a request on a new connection and return its Answer."""
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(router.ip, router.front)
            writer.write(encode_request(method, path, host, headers, body))
            await _read(reader, answer, on_body or (lambda _: None))
    except TimeoutError:
        answer.end = "timeout"
    except asyncio.IncompleteReadError:
        answer.end = "cut"
    except ConnectionError:
        answer.end = "reset"
    finally:
        if writer is not None:
            writer.close()
    return answer


class KeptConnection:
    """A client connection that carries one request after another."""

    def __init__(self, router):
        self._router = router
        self._streams = None

    async def ask(self, method, path, host, headers, body=b"", timeout=10):
        """Send a request and return its Answer."""
        answer = Answer()
        try:
            async with asyncio.timeout(timeout):
                if self._streams is None:
                    address = self._router.ip, self._router.front
                    self._streams = await asyncio.open_connection(*address)
                reader, writer = self._streams
                writer.write(encode_request(method, path, host, headers, body))
                await writer.drain()
                await _read(reader, answer, lambda _: None)
        except TimeoutError:
            answer.end = "timeout"
        except asyncio.IncompleteReadError:
            answer.end = "cut"
        except ConnectionError:
            answer.end = "reset"
        return answer

    def close(self):
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None
