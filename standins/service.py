"""Stand-in for a plain service whose requests must not run twice."""

import asyncio
from collections import Counter
from collections.abc import Mapping

from gentiantrestle.http.connection import ConnectionClosedError
from gentiantrestle.http.messages import Request, Response, json_response

MAX_BODY = 1024 * 1024  # bytes


class ServiceStandin:
    """Counts the runs of each request body, so that tests see repeated ones.

    ``POST /control`` sets the faults: ``delay``, in seconds, and ``drop``,
    which closes the connection after the run instead of answering.
    """

    def __init__(self, delay: float) -> None:
        """Answer after ``delay`` seconds."""
        self._delay = delay
        self._drop_answers = False
        self._counts: Counter[str] = Counter()

    @classmethod
    def from_config(cls, cfg: Mapping[str, str]) -> 'ServiceStandin':
        """Read ``delay=``, in seconds."""
        return cls(float(cfg.get('delay', '0.002')))

    async def run(self) -> None:
        """Wait until cancelled; there is no background work."""
        await asyncio.Event().wait()

    async def handle(self, req: Request) -> Response:
        """Run a request, show the counts, or set faults."""
        if req.path == '/stats':
            return json_response({'runs': self._counts})
        if req.path == '/control':
            body = await req.read_json(MAX_BODY)
            self._drop_answers = bool(body.get('drop', self._drop_answers))
            self._delay = float(body.get('delay', self._delay))
            return json_response({})
        body = await req.read(MAX_BODY)
        self._counts[body.decode()] += 1
        await asyncio.sleep(self._delay)
        if self._drop_answers:
            raise ConnectionClosedError('answer dropped by the drop fault')
        return json_response({'path': req.path, 'run': self._counts.total()})
