"""Streams that are taken up again, beside streams that begin."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Sequence
from itertools import pairwise
from typing import Any, NamedTuple, TypeAlias

from gentiantrestle import events
from gentiantrestle.margins.records import Record
from gentiantrestle.margins.registry import Bounds, Margin, meter

WINDOW = 4.0  # seconds
MS_PER_S = 1000
FEWEST = 12  # take-ups; windows with fewer are not compared
LEAST_SHARE = 0.5  # of the share of new streams that begin
BEGUN = frozenset(('done', 'left', 'lost'))

WindowKey: TypeAlias = tuple[float, str, str]


class TakeUp(NamedTuple):
    """A stream that was taken up again, and what became of it."""

    key: WindowKey
    known: bool
    placed: bool
    outcome: str


class Window(NamedTuple):
    """Take-ups of one version in one window, beside new streams."""

    key: WindowKey
    taken: int
    gone_on: int
    unknown: int
    begin_share: float
    outcomes: dict[str, int]

    @property
    def ratio(self) -> float | None:
        """How often take-ups go on, against the share of new streams."""
        if not self.begin_share:
            return None
        return round(self.gone_on / self.taken / self.begin_share, 3)

    def as_details(self) -> dict[str, Any]:
        """Return the counts of the window."""
        return {
            'taken': self.taken,
            'gone_on': self.gone_on,
            'unknown': self.unknown,
            'begin_share': round(self.begin_share, 3),
            'outcomes': self.outcomes,
        }


@meter
def measure_take_ups(
    records: Sequence[Record], bounds: Bounds
) -> Iterator[Margin]:
    """Compare take-ups with new streams, by window, route and version.

    A take-up of unknown origin counts with the version at which its stream
    was placed, if the logs tell.
    """
    windows = list(compare(records))
    compared = [
        window
        for window in windows
        if window.taken >= FEWEST and window.ratio is not None
    ]
    nearest = min(compared, key=lambda window: window.ratio or 0, default=None)
    yield Margin(
        'streams taken up go on as new ones begin',
        nearest.ratio if nearest else None,
        LEAST_SHARE,
        ' '.join(map(str, nearest.key)) if nearest else '',
        {
            'take_ups': sum(window.taken for window in windows),
            'gone_on': sum(window.gone_on for window in windows),
            'unknown': sum(window.unknown for window in windows),
            'windows': len(compared),
            'nearest': nearest.as_details() if nearest else {},
        },
        is_least=True,
    )


def compare(records: Sequence[Record]) -> Iterator[Window]:
    """Return the windows with take-ups."""
    grouped: dict[WindowKey, list[TakeUp]] = defaultdict(list)
    for take_up in _find_take_ups(records):
        grouped[take_up.key].append(take_up)
    begun = _count_begun(records, frozenset(key[1] for key in grouped))
    for key, entries in grouped.items():
        counts = begun[key[0], key[1]]
        yield Window(
            key,
            len(entries),
            sum(entry.placed for entry in entries),
            sum(not entry.known for entry in entries),
            counts[True] / (counts.total() or 1),
            Counter(entry.outcome for entry in entries),
        )


def _find_take_ups(records: Iterable[Record]) -> Iterator[TakeUp]:
    by_request: dict[str, list[Record]] = defaultdict(list)
    versions: dict[str, str] = {}
    for entry in records:
        by_request[entry.field('request')].append(entry)
        if entry.is_a(events.REQUEST_PLACED):
            versions.setdefault(entry.field('request'), entry.field('version'))
    for sequence in by_request.values():
        for part in _split(sequence):
            yield _take_up(part, versions)


def _split(sequence: list[Record]) -> Iterator[list[Record]]:
    """Return the events of each take-up of one request."""
    starts = [
        position
        for position, rec in enumerate(sequence)
        if rec.is_a(events.STREAM_TAKEN_UP)
    ]
    for start, end in pairwise((*starts, len(sequence))):
        yield sequence[start:end]


def _take_up(sequence: Sequence[Record], versions: dict[str, str]) -> TakeUp:
    began = sequence[0]
    ended = next(
        (rec for rec in sequence if rec.is_a(events.REQUEST_ENDED)), None
    )
    return TakeUp(
        (
            began.at // WINDOW * WINDOW,
            ended.field('route') if ended else '',
            began.field('version') or versions.get(began.field('attempt'), ''),
        ),
        bool(began.fields['known']),
        any(
            rec.is_a(events.REQUEST_PLACED)
            for rec in sequence
            if ended is None or rec.at <= ended.at
        ),
        ended.field('outcome') if ended else 'run ended',
    )


def _count_begun(
    records: Sequence[Record], routes: frozenset[str]
) -> dict[tuple[float, str], Counter[bool]]:
    """Count by window and route whether new streams began."""
    taken = {
        rec.field('request')
        for rec in records
        if rec.is_a(events.STREAM_TAKEN_UP)
    }
    counts: dict[tuple[float, str], Counter[bool]] = defaultdict(Counter)
    for rec in records:
        if not rec.is_a(events.REQUEST_ENDED) or rec.field('request') in taken:
            continue
        if rec.field('route') in routes:
            began = rec.at - float(rec.fields['took_ms']) / MS_PER_S
            window = began // WINDOW * WINDOW
            is_begun = rec.field('outcome') in BEGUN
            counts[window, rec.field('route')][is_begun] += 1
    return counts
