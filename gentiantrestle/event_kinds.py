"""Kinds of log events, and the catalogue of all."""

from typing import NamedTuple


class Event(NamedTuple):
    """A kind of log entry: stable number, level and message template."""

    code: int
    level: str
    template: str


CATALOGUE: list[Event] = []


def _define(code: int, level: str, template: str) -> Event:
    event = Event(code, level, template)
    CATALOGUE.append(event)
    return event


def info_event(code: int, template: str) -> Event:
    """Define an event of this level."""
    return _define(code, 'INFO', template)


def warning_event(code: int, template: str) -> Event:
    """Define an event of this level."""
    return _define(code, 'WARNING', template)


def error_event(code: int, template: str) -> Event:
    """Define an event of this level."""
    return _define(code, 'ERROR', template)


def critical_event(code: int, template: str) -> Event:
    """Define an event of this level."""
    return _define(code, 'CRITICAL', template)
