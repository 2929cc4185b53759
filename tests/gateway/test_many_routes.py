"""Routes are found among thousands as among a few."""

from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from gentiantrestle.gateway.routing import Router
from tests.gateway.samples import HOST, make_route, make_table

MANY = 5000
PREFIXES = st.text('/ab', min_size=1, max_size=6)


class _CountedText(str):  # noqa: WPS600 (counts comparisons)
    """Counts how often it is compared."""

    compared = 0

    def __eq__(self, other: object) -> bool:
        type(self).compared += 1
        return super().__eq__(other)

    def startswith(self, *prefixes: Any) -> bool:
        """Tell whether one of the prefixes begins the text."""
        type(self).compared += 1
        return super().startswith(*prefixes)

    def __getitem__(self, key: Any) -> '_CountedText':
        return _CountedText(super().__getitem__(key))

    def partition(self, separator: str) -> tuple[str, str, str]:
        """Cut the text at a separator."""
        return tuple(map(_CountedText, super().partition(separator)))

    __hash__ = str.__hash__


def test_match_does_not_take_longer_with_thousands_of_routes() -> None:
    router = Router()
    routes = (make_route(prefix=f'/p{number}/') for number in range(MANY))
    router.apply(make_table(*routes))
    assert router.match(HOST, _CountedText('/none/1')) is None
    assert router.match(HOST, _CountedText(f'/p{MANY - 1}/1')) is not None
    assert _CountedText.compared < 10


@given(prefixes=st.lists(PREFIXES), path=st.text('/ab', max_size=8))
def test_match_is_never_another_than_the_longest_prefix(
    prefixes: list[str], path: str
) -> None:
    routes = [
        make_route(name=f'{number}', prefix=prefix)
        for number, prefix in enumerate(prefixes)
    ]
    router = Router()
    router.apply(make_table(*routes))
    matching = [route for route in routes if path.startswith(route.prefix)]
    wanted = max(matching, key=lambda route: len(route.prefix), default=None)
    assert router.match(HOST, path) == wanted
