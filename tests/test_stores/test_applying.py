"""Tests of concurrent changes to documents that depend on one another."""

import pytest

from ragwortchute.documents import checks
from ragwortchute.documents import parsing
from ragwortchute.stores import applying
from ragwortchute.stores import memory
from tests.test_documents import samples
from tests.test_stores import test_writing


class TestApply:
    """A service must not silently lose its failure domain."""

    @pytest.mark.parametrize('service_first', [True, False])
    async def test_concurrent_change_is_told(self, monkeypatch, service_first):
        monkeypatch.setattr(
            checks, 'registered_balancers', lambda: samples.BALANCERS
        )
        inner = memory.MemoryStore()

        class Racing(memory.MemoryStore):
            """Lets another writer finish right before the first write."""

            get, list = inner.get, inner.list
            pending = None

            async def put(self, name, value, *, expected_version):
                step, self.pending = self.pending, None
                if step:
                    await step
                return await inner.put(
                    name, value, expected_version=expected_version
                )

        async def put_in_force(store, text):
            req = applying.Request(text.encode(), parsing.Format.YAML, 'ann')
            writer = test_writing.make_writer(store)
            return (await applying.apply(store, writer, req)).unwrap()

        await put_in_force(inner, samples.DEPLOYMENT_YAML)
        smaller = samples.DEPLOYMENT_YAML.replace('visayas-cebu', 'visayas-x')
        texts = [samples.SERVICE_YAML, smaller]
        if not service_first:
            texts.reverse()
        store = Racing()
        store.pending = put_in_force(inner, texts[0])
        applied = await put_in_force(store, texts[1])
        assert any('visayas-cebu' in note for note in applied.notes)
