"""Routes by method and path, in a registry that decorators fill."""

import re
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, TypeAlias

from gentiantrestle.errors import NOT_FOUND, WRONG_METHOD, refuse
from gentiantrestle.http.messages import Request, Response, refusal_response

Answer: TypeAlias = Callable[..., Awaitable[Response]]
FIELD = re.compile(r'{(\w+)}')


class Route(NamedTuple):
    """One registered handler; ``role`` is who may call it."""

    method: str
    pattern: re.Pattern[str]
    answer: Answer
    role: str
    label: str


class Match(NamedTuple):
    """The route of a request, and the fields of its path."""

    route: Route
    fields: dict[str, str]


ROUTES: list[Route] = []
ANYONE = 'anyone'
CLIENT = 'client'
OPERATOR = 'operator'


def route(method: str, path: str, role: str) -> Callable[[Answer], Answer]:
    """Register a handler; ``{field}`` stands for one part of the path."""
    text = FIELD.sub(r'(?P<\1>[^/]+)', path.replace('{rest}', '(?P<rest>.*)'))
    pattern = re.compile(text)

    def register(answer: Answer) -> Answer:
        label = f'{method} {path}'
        ROUTES.append(Route(method, pattern, answer, role, label))
        return answer

    return register


def find(req: Request) -> Match | Response:
    """Find the route of a request, or the refusal to answer with."""
    allowed = []
    for one in ROUTES:
        matched = one.pattern.fullmatch(req.path)
        if matched is None:
            continue
        if one.method == req.method:
            return Match(one, matched.groupdict())
        allowed.append(one.method)
    if allowed:
        return _wrong_method(req, allowed)
    missing = refuse(NOT_FOUND, f'Nothing is at {req.path}')
    return refusal_response(missing.refusal)


def _wrong_method(req: Request, allowed: list[str]) -> Response:
    exc = refuse(WRONG_METHOD, f'{req.method} is not for {req.path}')
    response = refusal_response(exc.refusal)
    allow: Any = ('Allow', ', '.join(sorted(allowed)))
    return response._replace(headers=(*response.headers, allow))
