"""Each answer that a read of a job can get, by table and by random walk."""

import asyncio
import random

import pytest

from gentiantrestle.gateway.ports import CancelJob, ReadBody, ReadResults
from tests.gateway.read_world import (
    ABSENT,
    CALLER_TIME,
    CHUNKS,
    FOUND,
    OUT,
    OWNERS,
    SOUND,
    STATES,
    UNSURE,
    Answers,
    Reader,
    StoreModel,
    Writer,
    call,
    make_world,
)
from tests.utils.virtual_time import run_virtual

MORE_RESULTS = 0.2  # share of steps
# With the time of a reader, that of those who submit or cancel.
CANCEL_WAIT = 2.5  # seconds


@pytest.mark.parametrize('state', STATES)
@pytest.mark.parametrize('answers', SOUND)
@pytest.mark.parametrize('owner', OWNERS)
@pytest.mark.parametrize('is_known', [True, False])
@pytest.mark.parametrize('wait', [0, 1.0])
def test_accepted_job_is_read_from_each_position_with_a_store(
    wait: float, is_known: bool, owner: Answers, answers: Answers, state: str
) -> None:
    async def main(after: int) -> None:
        store, writer, reader = await make_world(
            state, owner, is_known=is_known
        )
        store.answers = answers
        page = await reader.read(after, wait)
        assert (page.status, page.items) == (FOUND, writer.items[after:])
        assert page.took < wait + CALLER_TIME
        again = await reader.read(after, wait)
        assert (again.status, again.items) == (FOUND, page.items)

    for after in (0, CHUNKS // 2, CHUNKS - 1, CHUNKS, CHUNKS + 1):
        run_virtual(main(after))


@pytest.mark.parametrize('state', STATES)
@pytest.mark.parametrize('answers', OUT)
@pytest.mark.parametrize('owner', OWNERS)
@pytest.mark.parametrize('is_known', [True, False])
@pytest.mark.parametrize('wait', [0, 1.0])
def test_accepted_job_is_not_said_to_lack_results_without_a_store(
    wait: float, is_known: bool, owner: Answers, answers: Answers, state: str
) -> None:
    async def main(after: int) -> None:
        store, writer, reader = await make_world(
            state, owner, is_known=is_known
        )
        store.answers = answers
        page = await reader.read(after, wait)
        is_given = is_known and owner is Answers.AT_ONCE
        expected = writer.items[after:] if is_given else []
        status = FOUND if is_given else UNSURE
        assert (page.status, page.items) == (status, expected)
        assert page.took < wait + CALLER_TIME

    for after in (0, CHUNKS // 2, CHUNKS - 1):
        run_virtual(main(after))


@pytest.mark.parametrize('answers', [*SOUND, *OUT])
@pytest.mark.parametrize('operation', ['results', 'body', 'cancel'])
def test_job_that_is_nowhere_is_absent_only_if_the_store_says_so(
    operation: str, answers: Answers
) -> None:
    async def main() -> int:
        store = StoreModel()
        store.answers = answers
        api = Reader(store, Writer(store)).api
        args = {
            'results': (api.read_results, ReadResults('none', 0, 0)),
            'body': (api.read_body, ReadBody('none', 'none-0')),
            'cancel': (api.cancel, CancelJob('none')),
        }[operation]
        wait = CANCEL_WAIT if operation == 'cancel' else 0
        return (await call(*args, wait))[0]

    expected = ABSENT if answers in SOUND else UNSURE
    assert run_virtual(main()) == expected


@pytest.mark.parametrize('answers', [*SOUND, *OUT])
@pytest.mark.parametrize('is_known', [True, False])
@pytest.mark.parametrize('operation', ['body', 'cancel'])
def test_body_and_cancel_are_answered_before_their_caller_leaves(
    operation: str, is_known: bool, answers: Answers
) -> None:
    async def main() -> int:
        store, _, reader = await make_world(
            'open', Answers.GONE, is_known=is_known
        )
        store.answers = answers
        args = {
            'body': (reader.api.read_body, ReadBody('job1', 'job1-8')),
            'cancel': (reader.api.cancel, CancelJob('job1')),
        }[operation]
        wait = CANCEL_WAIT if operation == 'cancel' else 0
        return (await call(*args, wait))[0]

    expected = FOUND if answers in SOUND else UNSURE
    assert run_virtual(main()) == expected


def test_cancel_is_not_refused_by_a_store_that_answers_late(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr('tests.gateway.read_world.SLOW', 0.7)

    async def main() -> int:
        store, _, reader = await make_world('open', Answers.GONE, is_known=True)
        store.answers = Answers.SLOW
        return (await call(reader.api.cancel, CancelJob('job1'), CANCEL_WAIT))[
            0
        ]

    assert run_virtual(main()) == FOUND


async def _disturb(
    rng: random.Random, store: StoreModel, writer: Writer
) -> None:
    """Store a result at times, and change how store and owner answer."""
    store.answers = Answers.AT_ONCE
    if rng.random() < MORE_RESULTS and not writer.entry.complete:
        await writer.store_next()
    store.answers = rng.choice([*SOUND, *OUT])
    writer.answers = rng.choice([*OWNERS, Answers.SLOW])


@pytest.mark.parametrize('seed', range(40))
def test_pages_never_shift_nor_end_early_whatever_store_and_owner_do(
    seed: int,
) -> None:
    rng = random.Random(seed)

    async def main() -> None:
        store, writer, _ = await make_world(
            'open', Answers.AT_ONCE, is_known=False
        )
        readers = [Reader(store, writer) for _ in range(3)]
        after = 0
        for _ in range(60):
            await _disturb(rng, store, writer)
            pages = await asyncio.gather(
                *(rng.choice(readers).read(after) for _ in range(2))
            )
            for page in pages:
                last = after + len(page.items)
                assert page.items == writer.items[after:last]
                assert page.status in {FOUND, UNSURE}
                assert last >= CHUNKS or page.status == UNSURE or page.items
            after = rng.randrange(CHUNKS + 1)
            await asyncio.sleep(rng.choice([0, 0.2, 1.0]))

    run_virtual(main())
