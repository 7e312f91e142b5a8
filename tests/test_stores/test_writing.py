"""Tests of the document writer."""

import asyncio
import itertools
import json
import random

import pytest
from returns import result

from ragwortchute import documents
from ragwortchute import errors
from ragwortchute.stores import memory
from ragwortchute.stores import writing
from tests.test_documents import samples


def make_writer(store, prefix='c'):
    ids = (f'{prefix}{number}' for number in itertools.count(1))
    return writing.DocumentWriter(
        store, wall=lambda: 1.0, new_id=lambda: next(ids)
    )


def make_document(number: int) -> documents.ServiceDocument:
    return samples.service(max_queue=number)


class LossyStore(memory.MemoryStore):
    """Loses the answer to the next write of a document.

    Attributes:
        applied: Whether the write is applied.
        after_loss: Called after the write; None to lose no answer.
    """

    applied = True
    after_loss = None

    async def put(self, name, value, *, expected_version):
        if not name.startswith('documents/') or self.after_loss is None:
            return await super().put(
                name, value, expected_version=expected_version
            )
        step, self.after_loss = self.after_loss, None
        if self.applied:
            await super().put(name, value, expected_version=expected_version)
        await step()
        raise errors.StoreUnavailable('answer lost', maybe_applied=True)


class TestWrite:
    """The reported outcome of a write must match the state of the store."""

    async def test_write_sets_change_id_and_returns_changes(self):
        store = memory.MemoryStore()
        writer = make_writer(store)
        await writer.write(make_document(1), author='ann')
        second = (await writer.write(make_document(2), author='ben')).unwrap()
        assert [str(c) for c in second.changes] == ['~ max_queue: 1 -> 2']
        now = await writer.read('dispatch')
        assert (now.document.change_id, now.document.author) == ('c2', 'ben')

    async def test_unchanged_document_is_not_written(self):
        store = memory.MemoryStore()
        writer = make_writer(store)
        first = (await writer.write(make_document(1), author='ann')).unwrap()
        store.counters = memory.Counters()
        again = (await writer.write(make_document(1), author='ben')).unwrap()
        assert again.version == first.version
        assert store.counters.put == 0

    async def test_stale_expected_version_is_a_conflict(self):
        store = memory.MemoryStore()
        base = (
            await make_writer(store).write(make_document(1), author='a')
        ).unwrap()
        await make_writer(store, 'x').write(make_document(2), author='b')
        conflict = (
            await make_writer(store).write(
                make_document(3), author='a', expected_version=base.version
            )
        ).failure()
        assert [str(c) for c in conflict.changes] == ['~ max_queue: 2 -> 3']
        assert conflict.current.author == 'b'

    @pytest.mark.parametrize('applied', [True, False])
    async def test_write_with_lost_answer_succeeds(self, applied):
        store = LossyStore()
        store.applied = applied

        async def nothing():
            pass

        store.after_loss = nothing
        written = await make_writer(store).write(make_document(1), author='a')
        now = await make_writer(store).read('dispatch')
        assert written.unwrap().change_id == now.document.change_id == 'c1'

    @pytest.mark.parametrize('applied', [True, False])
    async def test_lost_answer_and_another_write(self, applied):
        """A write that was replaced must differ from one never applied."""
        store = LossyStore()
        store.applied = applied

        async def other():
            await make_writer(store, 'x').write(make_document(9), author='b')

        store.after_loss = other
        outcome = await make_writer(store).write(make_document(1), author='a')
        if applied:
            assert outcome.unwrap().superseded
        else:
            assert outcome.failure().maybe_applied
            assert outcome.failure().current.change_id == 'x1'

    async def test_outcome_is_unknown_if_store_fails_after_lost_answer(self):
        store = LossyStore()

        async def down():
            store.set_faults(down=True)

        store.after_loss = down
        with pytest.raises(errors.StoreUnavailable) as caught:
            await make_writer(store).write(make_document(1), author='a')
        assert caught.value.maybe_applied


class TestHistory:
    """The history must keep recent versions, or operators can't roll back.

    It must also stay below the size limit of a value.
    """

    async def test_keeps_the_last_twenty_newest_first(self):
        store = memory.MemoryStore()
        writer = make_writer(store)
        for number in range(1, 26):
            await writer.write(make_document(number), author='a')
        entries = await writer.history('dispatch')
        assert [e.change_id for e in entries] == [
            f'c{number}' for number in range(25, 5, -1)
        ]

    async def test_takes_two_calls_per_write(self):
        store = memory.MemoryStore()
        await make_writer(store).write(make_document(1), author='a')
        assert store.counters == memory.Counters(get=2, put=2)

    async def test_next_write_adds_the_missing_previous_version(self):
        store = memory.MemoryStore()
        writer = make_writer(store)
        await writer.write(make_document(1), author='a')
        store.remove('history/dispatch')
        await writer.write(make_document(2), author='a')
        entries = await writer.history('dispatch')
        assert [e.change_id for e in entries] == ['c2', 'c1']

    async def test_large_documents_stay_below_the_value_limit(self):
        store = memory.MemoryStore()
        writer = make_writer(store)
        for number in range(1, 4):
            big = samples.service(
                *(
                    documents.Route(f'r{i}', path_prefix='/' + 'p' * 300)
                    for i in range(900)
                ),
                max_queue=number,
            )
            written = (await writer.write(big, author='a')).unwrap()
            assert written.history_kept
        assert 1 <= len(await writer.history('dispatch')) < 3


@pytest.mark.parametrize('seed', range(20))
async def test_outcomes_of_concurrent_writes_match_the_store(seed):
    """Lost answers and conflicts must never lead to a false outcome."""
    rng = random.Random(seed)
    accepted: list[str] = []

    class Flaky(memory.MemoryStore):
        async def put(self, name, value, *, expected_version):
            await asyncio.sleep(0)
            if rng.random() < 0.2:
                raise errors.StoreUnavailable('lost', maybe_applied=True)
            stored = await super().put(
                name, value, expected_version=expected_version
            )
            if name.startswith('documents/'):
                accepted.append(json.loads(value)['change_id'])
            if rng.random() < 0.2:
                raise errors.StoreUnavailable('lost', maybe_applied=True)
            return stored

        async def get(self, name):
            await asyncio.sleep(0)
            if rng.random() < 0.1:
                raise errors.StoreUnavailable('no answer')
            return await super().get(name)

    store = Flaky()

    async def write_documents(number):
        ids = (f'{number}-{i}' for i in itertools.count())
        outcomes = []
        for step in range(10):
            change_id = next(ids)
            writer = writing.DocumentWriter(
                store, wall=lambda: 1.0, new_id=lambda c=change_id: c
            )
            document = make_document(1 + number + 10 * step)
            try:
                outcome = await writer.write(document, author='a')
            except errors.StoreUnavailable as exc:
                outcomes.append(
                    (change_id, 'maybe' if exc.maybe_applied else 'no')
                )
                continue
            if isinstance(outcome, result.Success):
                unchanged = outcome.unwrap().change_id != change_id
                outcomes.append((change_id, 'no' if unchanged else 'yes'))
            else:
                lost = outcome.failure().maybe_applied
                outcomes.append((change_id, 'maybe' if lost else 'no'))
        return outcomes

    outcomes_by_writer = await asyncio.gather(*map(write_documents, range(4)))
    for change_id, applied in itertools.chain(*outcomes_by_writer):
        if applied != 'maybe':
            assert (change_id in accepted) == (applied == 'yes')
    assert len(accepted) == len(set(accepted))
