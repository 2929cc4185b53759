"""What upstreams of tests say of themselves when they are asked."""

import asyncio

REPORT_LINE = b'GET /gentiantrestle/report '
# The fleet registers an upstream as of this start.
BORN = 1
HEAD_END = b'\r\n\r\n'


async def read_head(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> bytes:
    """Return the head of a request; answer one for a report.

    Raises ``asyncio.IncompleteReadError`` if no other request follows it.
    """
    head = await reader.readuntil(HEAD_END)
    while head.startswith(REPORT_LINE):
        body = f'{{"born":{BORN}}}'.encode()
        length = f'Content-Length: {len(body)}'.encode()
        writer.write(b'HTTP/1.1 200 OK\r\n' + length + HEAD_END + body)
        await writer.drain()
        head = await reader.readuntil(HEAD_END)
    return head
