"""A separate HTTP server for health checks and metrics."""

from gentiantrestle.errors import Refusal
from gentiantrestle.gateway.http_server import Handler, HttpServer
from gentiantrestle.gateway.model import CallerLimits
from gentiantrestle.http.link import HeaderPairs
from gentiantrestle.models import Address


async def start_monitoring_server(
    handle: Handler, address: Address
) -> HttpServer:
    """Serve ``handle`` at ``address``, with the default limits.

    Separate from the callers' port, so that it stays reachable when callers
    take up all connections there.
    """
    server = HttpServer(handle, _encode_refusal, CallerLimits)
    await server.start(address.host, address.port)
    return server


def _encode_refusal(refusal: Refusal) -> tuple[int, HeaderPairs, bytes]:
    return refusal.kind.status, [], b''
