"""The documentation lists all events, settings and kinds of errors."""

import re
from pathlib import Path

from gentiantrestle import allowance_events, errors, events, job_events
from gentiantrestle.event_kinds import CATALOGUE, Event
from gentiantrestle.options import OPTIONS

DOCS = Path(__file__).parent.parent / 'docs'


def test_every_event_stands_in_the_catalogue() -> None:
    rows = re.findall(
        r'^\| (\d{4}) \| (\w+) \| `(.+?)` \|',
        (DOCS / 'EVENTS.md').read_text(),
        re.MULTILINE,
    )
    assert sorted((int(code), level, text) for code, level, text in rows) == (
        sorted(CATALOGUE)
    )


def test_catalogue_holds_the_events_of_all_modules() -> None:
    named = {
        event
        for module in (allowance_events, events, job_events)
        for event in vars(module).values()
        if isinstance(event, Event)
    }
    assert named == set(CATALOGUE)


def test_event_numbers_are_unique() -> None:
    codes = [event.code for event in CATALOGUE]
    assert len(codes) == len(set(codes))


def test_operators_page_lists_every_setting() -> None:
    text = (DOCS / 'OPERATORS.md').read_text()
    for option in OPTIONS:
        default = 'required' if option.default is None else option.default
        assert f'| `{option.name}` | {default} | {option.unit} |' in text


def test_api_page_lists_every_kind_of_error() -> None:
    text = (DOCS / 'API.md').read_text()
    kinds = [
        kind
        for kind in vars(errors).values()
        if isinstance(kind, errors.ErrorKind)
    ]
    for kind in kinds:
        assert f'| `{kind.name}` | {kind.status} | {kind.run.value} |' in text
