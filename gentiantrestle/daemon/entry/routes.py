"""Registry of routes by method and path, filled by a decorator."""

import re
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, TypeAlias

from gentiantrestle.errors import NOT_FOUND, WRONG_METHOD, refuse
from gentiantrestle.http.messages import Request, Response, refusal_response

Handler: TypeAlias = Callable[..., Awaitable[Response]]
PATH_FIELD = re.compile(r'{(\w+)}')


class Route(NamedTuple):
    """A registered handler.

    ``role`` is required of the caller; ``label`` names the route in metrics.
    """

    method: str
    pattern: re.Pattern[str]
    handler: Handler
    role: str
    label: str


class Match(NamedTuple):
    """The route of a request, and the values of its path fields."""

    route: Route
    fields: dict[str, str]


ROUTES: list[Route] = []
ANYONE = 'anyone'
CLIENT = 'client'
OPERATOR = 'operator'


def route(method: str, path: str, role: str) -> Callable[[Handler], Handler]:
    """Return a decorator that registers a handler.

    In ``path``, ``{field}`` matches one segment and ``{rest}`` the remainder.
    """
    regex = PATH_FIELD.sub(
        r'(?P<\1>[^/]+)', path.replace('{rest}', '(?P<rest>.*)')
    )
    pattern = re.compile(regex)

    def register(handler: Handler) -> Handler:
        label = f'{method} {path}'
        ROUTES.append(Route(method, pattern, handler, role, label))
        return handler

    return register


def find(req: Request) -> Match | Response:
    """Return the route of a request, or the error response if none fits."""
    allowed = []
    for candidate in ROUTES:
        matched = candidate.pattern.fullmatch(req.path)
        if matched is None:
            continue
        if candidate.method == req.method:
            return Match(candidate, matched.groupdict())
        allowed.append(candidate.method)
    if allowed:
        return _wrong_method(req, allowed)
    exc = refuse(NOT_FOUND, f'There is nothing at {req.path}')
    return refusal_response(exc.refusal)


def _wrong_method(req: Request, allowed: list[str]) -> Response:
    exc = refuse(WRONG_METHOD, f'{req.method} is not allowed for {req.path}')
    response = refusal_response(exc.refusal)
    allow_header: Any = ('Allow', ', '.join(sorted(allowed)))
    return response._replace(headers=(*response.headers, allow_header))
