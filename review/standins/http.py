"""Reading and writing of HTTP/1.1 messages on asyncio streams."""
import asyncio


class Message:
    """A request or a response. Field names are kept in lower case."""

    def __init__(self, start, fields, body):
        self.start = start
        self.fields = fields
        self.body = body

    @property
    def status(self):
        return int(self.start.split(" ", 2)[1])


async def read_message(reader):
    """The next message, or None when the connection ends before its first byte.
    Raises an exception when the connection ends within the message."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            fields[name.lower()] = value.strip()
    body = b""
    if "chunked" in fields.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                break
    elif "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    return Message(lines[0], fields, body)


def format_message(start, fields, body=b""):
    lines = [start] + [f"{name}: {value}" for name, value in fields]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
