"""A listener of its own for those who watch the instance."""

from gentiantrestle.errors import Refusal
from gentiantrestle.gateway.http_server import Handler, HttpServer
from gentiantrestle.gateway.model import CallerLimits
from gentiantrestle.http.link import HeaderPairs
from gentiantrestle.models import Address


async def start_monitoring_server(
    handle: Handler, address: Address
) -> HttpServer:
    """Answer at ``address``, apart from callers and their limits.

    Callers that fill their own port can't hide whether the instance serves.
    """
    callers = HttpServer(handle, _encode_refusal, CallerLimits)
    await callers.start(address.host, address.port)
    return callers


def _encode_refusal(refusal: Refusal) -> tuple[int, HeaderPairs, bytes]:
    return refusal.kind.status, [], b''
