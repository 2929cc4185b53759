"""Sends log records to a sink or to standard error."""

import sys
from collections.abc import Callable
from typing import Any

from loguru import logger

TEXT_FORMAT = (
    '<dim>{time:HH:mm:ss.SSS}</dim> <level>{level: <7}</level> '
    '<cyan>{extra[code]}</cyan> {message}'
)


def configure_sink(level: str, sink: Callable[[Any], None]) -> None:
    """Send log records to ``sink``, which must not block."""
    logger.remove()
    logger.configure(extra={'code': 0})
    logger.add(sink, level=level, format='{message}', catch=True)


def configure(level: str, *, as_json: bool) -> None:
    """Send the log to standard error, as plain text or JSON lines."""
    logger.remove()
    logger.configure(extra={'code': 0})
    if as_json:
        logger.add(sys.stderr, level=level, serialize=True, catch=True)
        return
    logger.add(sys.stderr, level=level, format=TEXT_FORMAT, catch=True)
