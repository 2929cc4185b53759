"""Stand-in for a plain service whose calls may not be repeated."""

import asyncio
from collections import Counter
from collections.abc import Mapping

from gentiantrestle.http.connection import ConnectionClosedError
from gentiantrestle.http.messages import Request, Response, json_response

MAX_BODY = 1024 * 1024  # bytes


class ServiceStandin:
    """Counts each call by its body; a doubled call shows."""

    def __init__(self, delay: float) -> None:
        """Answer after ``delay`` seconds."""
        self._delay = delay
        self._drop = False
        self._counts: Counter[str] = Counter()

    @classmethod
    def from_config(cls, cfg: Mapping[str, str]) -> 'ServiceStandin':
        """Read ``delay=``, in seconds."""
        return cls(float(cfg.get('delay', '0.002')))

    async def run(self) -> None:
        """Nothing goes on beside the requests."""
        await asyncio.Event().wait()

    async def handle(self, req: Request) -> Response:
        """Run a call, or show the counts."""
        if req.path == '/stats':
            return json_response({'runs': self._counts})
        if req.path == '/control':
            body = await req.read_json(MAX_BODY)
            self._drop = bool(body.get('drop', self._drop))
            self._delay = float(body.get('delay', self._delay))
            return json_response({})
        body = await req.read(MAX_BODY)
        self._counts[body.decode()] += 1
        await asyncio.sleep(self._delay)
        if self._drop:
            raise ConnectionClosedError('dropped as asked')
        return json_response({'path': req.path, 'run': self._counts.total()})
