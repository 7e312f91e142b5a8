"""Tests of the evidence of rollouts and of the time to judge it."""

import random

import pytest

from ragwortchute.gateway.rollouts import coordinator
from ragwortchute.gateway.rollouts import evidence
from ragwortchute.gateway.rollouts import judgement
from ragwortchute.gateway.rollouts import messages
from ragwortchute.gateway.rollouts import neighbours
from ragwortchute.gateway.rollouts import records
from ragwortchute.gateway.rollouts import service_state
from tests.test_gateway import rig as rigs

Phase = records.Phase


class TestEvidence:
    """Lost, late and repeated reports must not change the sum."""

    def test_reports_are_counted_once(self):
        rng = random.Random(1)
        key = evidence.CellKey(True, 1, 1, 1)
        reports = []
        for incarnation in (1, 2):
            counters = evidence.Counters()
            for sequence in range(20):
                counters.note(key, failed=sequence % 2, timed=True, slow=False)
                data = evidence.pack(counters.cells)
                reports.append((incarnation, sequence, data))
        kept = [item for item in reports if item[1] == 19 or rng.random() < 0.5]
        kept += rng.sample(kept, 5)
        rng.shuffle(kept)
        merged = evidence.Evidence()
        for incarnation, sequence, data in kept:
            merged.merge('h', incarnation, sequence, data, sequence * 0.3)
        total = merged.total(canary=True)
        assert (total.ended, total.failed) == (40, 20)

    def test_report_fits_a_datagram(self):
        counters = evidence.Counters()
        for number in range(500):
            key = evidence.CellKey(True, 1, 1, number + 1)
            counters.note(key, failed=False, timed=True, slow=False)
        assert len(evidence.pack(counters.cells)) < 1100
        assert sum(item.ended for item in counters.cells.values()) == 500

    def test_counters_of_many_routes_fit_datagrams(self):
        # The counters of 54 routes and 5 failure domains do not fit into one.
        rng = random.Random(1)
        counters, merged = evidence.Counters(), evidence.Evidence()
        late = []
        for sequence in range(60):
            for _ in range(40 if sequence < 50 else 0):
                canary = rng.random() < 0.1
                key = evidence.CellKey(
                    canary,
                    evidence.key_of(f'route-{rng.randrange(54)}'),
                    evidence.key_of(f'zone-{rng.randrange(5)}'),
                    rng.randrange(1, 9) if canary else 0,
                )
                counters.note(key, failed=canary, timed=True, slow=False)
            data = evidence.pack(counters.next_cells())
            report = messages.Report(
                'service-with-a-long-name',
                *(10**6, 10**13, sequence, 10**9, 15_000, 10**6, False),
                *(10**5, 10**4, data, 784),
            )
            assert len(messages.encode(report)) <= 1110
            if rng.random() < 0.8:
                late.append((sequence, data))
            for item in rng.sample(late, min(2, len(late))):
                merged.merge('h', 1, *item, sequence * 0.5)
        for item in late:
            merged.merge('h', 1, *item, 30.0)
        assert len(counters.cells) > 270
        canary = merged.total(canary=True)
        assert canary.ended + merged.total(canary=False).ended == 2000
        assert canary.failed == canary.ended

    def test_report_without_counters_changes_nothing(self):
        # Hosts that would coordinate next get such reports at first.
        key = evidence.CellKey(True, 1, 1, 1)
        full = evidence.pack({key: evidence.Counts(5, 1, 5, 0)})
        merged = evidence.Evidence()
        for sequence, data in enumerate((full, b'', full)):
            merged.merge('h', 1, sequence, data, 1.0)
        assert merged.total(canary=True).ended == 5


class TestJudgementTime:
    """Judging must not take more processor time than control may."""

    @pytest.mark.parametrize(('routes', 'judged'), [(2, 16), (400, 8)])
    def test_much_evidence_is_judged_less_often(
        self, monkeypatch, routes, judged
    ):
        calls = []

        def judge(*args):
            calls.append(args)
            return judgement.Verdict()

        monkeypatch.setattr(judgement, 'judge', judge)
        state = service_state.ServiceState(
            's', 0.1, random.Random(1), rigs.MemoryLog()
        )
        record = records.Record('s', 'v2', 15.0, 1, Phase.MOVE, 1)
        state.set_record(record, 0.0)
        known = coordinator.Coordinator(1)
        cells = {
            evidence.CellKey(True, route, 1, 1): evidence.Counts(1, 0, 1, 0)
            for route in range(routes)
        }
        for period in range(10):
            known.evidence.merge(
                'h2', period, 1, evidence.pack(cells), period * 0.5
            )
        for number in range(80):
            known.situation(
                state,
                neighbours.View('h1'),
                longest_s=4.0,
                interval_s=0.5,
                contact_lease_s=1.2,
                obstacle='',
                warm=False,
                now_s=number * 0.05 + 0.001,
            )
        assert len(calls) == judged
