"""Chunk claims and saves under pauses, races, lost answers and duplicates.

Several holders act in any order on one stored record with conditional
writes. The invariants: each item has at most one result, and an item that
was started is never started again, as for a job that is not repeatable.
"""

from collections import Counter

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from gentiantrestle.daemon.batch.records import (
    CANCELLED,
    DONE,
    HELD,
    OPEN,
    RUNNING,
    ChunkRecord,
    Holder,
    JobRecord,
    cancel_job,
    claim_chunk,
    decode_positions,
    encode_positions,
    finish_job,
    readable_parts,
    reopen_chunk,
)
from gentiantrestle.errors import Refusal

ITEMS = 3
HOLDERS = tuple(Holder(f'i{index}', 1) for index in range(2))
holders = st.sampled_from(HOLDERS)


class Store:
    """One record with conditional writes, as in the object store."""

    def __init__(self) -> None:
        self.record: ChunkRecord | None = None
        self.version = 0

    def write(self, record: ChunkRecord, expected: int) -> bool:
        """Write if ``expected`` is the current version; tell whether it was."""
        if expected != self.version:
            return False
        self.record = record
        self.version += 1
        return True


class Worker:
    """A holder's copy of the record, maybe outdated, and unsaved items."""

    def __init__(self) -> None:
        self.record: ChunkRecord | None = None
        self.version = 0
        self.unsaved: set[int] = set()


class ChunkMachine(RuleBasedStateMachine):
    """Several holders, each of which may believe that it holds the chunk."""

    @initialize()
    def start(self) -> None:
        self.store = Store()
        self.parts: dict[str, list[int]] = {}
        self.sent: Counter[int] = Counter()
        self.workers = {holder: Worker() for holder in HOLDERS}

    @rule(holder=holders, gone=st.booleans())
    def claim(self, holder: Holder, gone: bool) -> None:
        wanted = claim_chunk(self.store.record, holder, holder_gone=gone)
        if isinstance(wanted, Refusal):
            return
        version = self.store.version
        assert self.store.write(wanted, version)
        worker = self.workers[holder]
        worker.record, worker.version = wanted, self.store.version
        worker.unsaved = set()

    @rule(holder=holders, position=st.integers(0, ITEMS - 1))
    def run_item(self, holder: Holder, position: int) -> None:
        """Mark an item as started in the store, then send it once."""
        worker = self.workers[holder]
        if worker.record is None or worker.record['state'] != HELD:
            return
        started = set(decode_positions(worker.record['started']))
        if position in started:
            return
        marked = ChunkRecord(
            **{
                **worker.record,
                'started': encode_positions({*started, position}),
            },
        )
        if not self._write(worker, marked):
            return
        self.sent[position] += 1
        worker.unsaved.add(position)

    @rule(holder=holders, answer_lost=st.booleans())
    def save(self, holder: Holder, answer_lost: bool) -> None:
        """Write a part, then the record; the answer may get lost."""
        worker = self.workers[holder]
        if worker.record is None or not worker.unsaved:
            return
        part = f'{worker.record["epoch"]}-{len(self.parts)}'
        self.parts[part] = sorted(worker.unsaved)
        settled = set(decode_positions(worker.record['settled']))
        wanted = ChunkRecord(
            **{
                **worker.record,
                'parts': [*worker.record['parts'], part],
                'settled': encode_positions(settled | worker.unsaved),
                'done': worker.record['done'] + len(worker.unsaved),
            },
        )
        if self._write(worker, wanted):
            worker.unsaved = set()
            if answer_lost:
                self._write(worker, wanted)

    @rule(holder=holders)
    def hand_over(self, holder: Holder) -> None:
        worker = self.workers[holder]
        if worker.record is None or worker.unsaved:
            return
        opened = ChunkRecord(**{**worker.record, 'state': OPEN})
        if self._write(worker, opened):
            worker.record = None

    @rule()
    def reopen(self) -> None:
        """Reopen a held chunk, whether or not its holder is gone."""
        if self.store.record is not None and self.store.record['state'] == HELD:
            self.store.write(
                reopen_chunk(self.store.record), self.store.version
            )

    @invariant()
    def each_item_has_at_most_one_result(self) -> None:
        if self.store.record is None:
            return
        result_counts = Counter(
            position
            for part in self.store.record['parts']
            for position in self.parts[part]
        )
        assert not result_counts or max(result_counts.values()) == 1
        assert set(result_counts) == set(
            decode_positions(self.store.record['settled'])
        )

    @invariant()
    def no_item_is_sent_twice(self) -> None:
        assert not self.sent or max(self.sent.values()) == 1

    def _write(self, worker: Worker, record: ChunkRecord) -> bool:
        if not self.store.write(record, worker.version):
            if self.store.record != record:
                worker.record = None
                worker.unsaved = set()
            return False
        worker.record, worker.version = record, self.store.version
        return True


TestChunkMachine = ChunkMachine.TestCase
TestChunkMachine.settings = settings(
    max_examples=300,
    stateful_step_count=50,
    derandomize=True,
    deadline=None,
)


def _job(**changes: object) -> JobRecord:
    record = JobRecord(
        id='j',
        client='c',
        digest='',
        upload='u',
        state=RUNNING,
        endpoint='e',
        url='',
        items=4,
        chunks=2,
        created=0,
        deadline=9,
        region='r',
        repeatable=True,
        done=0,
        failed=0,
    )
    record.update(changes)
    return record


def _chunk(state: str, parts: int) -> ChunkRecord:
    return ChunkRecord(
        owner='i',
        incarnation=1,
        epoch=1,
        state=state,
        parts=[f'1-{index}' for index in range(parts)],
        settled='0',
        started='0',
        done=parts,
        failed=0,
    )


def test_job_finishes_only_when_all_chunks_are_done() -> None:
    assert finish_job(_job(), [_chunk(DONE, 1)], 5, 'i') is None
    assert (
        finish_job(_job(), [_chunk(DONE, 1), _chunk(HELD, 1)], 5, 'i') is None
    )
    finished = finish_job(_job(), [_chunk(DONE, 1), _chunk(DONE, 2)], 5, 'i')
    assert (finished['state'], finished['done']) == ('completed', 3)


def test_results_saved_after_cancel_are_not_readable() -> None:
    cancelled = cancel_job(_job(), {1: _chunk(HELD, 2)}, 5)
    assert cancelled['parts_seen'] == [0, 2]
    late = _chunk(DONE, 3)
    assert readable_parts(cancelled, 1, late) == ['1-0', '1-1']
    assert readable_parts(cancelled, 0, late) == []


@pytest.mark.parametrize(
    ('job', 'kind'),
    [(None, 'not_found'), (_job(state='completed'), 'conflict')],
)
def test_cancel_of_unknown_or_completed_job_is_refused(
    job: JobRecord | None, kind: str
) -> None:
    assert cancel_job(job, {}, 5).kind.name == kind


def test_cancel_is_idempotent() -> None:
    cancelled = cancel_job(_job(), {}, 5)
    assert cancel_job(cancelled, {0: _chunk(DONE, 9)}, 8) == cancelled
    assert cancelled['state'] == CANCELLED
