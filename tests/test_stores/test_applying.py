"""Tests of concurrent writes of documents that depend on one another."""

import pytest

from ragwortchute.documents import checks
from ragwortchute.documents import parsing
from ragwortchute.stores import applying
from ragwortchute.stores import memory
from tests.test_documents import samples
from tests.test_stores import test_writing


class TestApply:
    """A concurrent write must not silently make a service document invalid.

    A service document refers to a failure domain that a concurrent write of
    the deployment document removes. Both writes pass their checks, so the
    second one must report the problem.
    """

    @pytest.mark.parametrize('service_first', [True, False])
    async def test_concurrent_invalid_change_is_reported(
        self, monkeypatch, service_first
    ):
        monkeypatch.setattr(
            checks, 'registered_balancers', lambda: samples.BALANCERS
        )
        inner = memory.MemoryStore()

        class Racing(memory.MemoryStore):
            """Runs another write immediately before its first write."""

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
