"""A short seeded run of the soak test, and seeds that failed before."""

import asyncio
import os
import signal
import time
from unittest import mock

import pytest

from benchmarks.soak import configurations
from benchmarks.soak import disruptions
from benchmarks.soak import faults
from benchmarks.soak import hosts
from benchmarks.soak import kept
from benchmarks.soak import run as runs
from benchmarks.soak import statements
from benchmarks.soak import stops
from standins import pipelining
from standins import platform_targets

SECONDS = 6.0
STOPS_SEED = 3301
# Faults that are planned stops with something else.
STOP_FAULTS = 6
# Seeds that violated a guarantee before, with the cause.
REGRESSIONS = {
    103: 'a stopping host closed a connection with a request in transit',
    424: 'the run did not end, as a call went on after it was cancelled',
    1104: 'a host was not back after a stop and a reload (beside load only)',
}


class KeptCase:
    """A request sent at 100 s that ran and got no answer until 101 s."""

    def __init__(self):
        self.host = hosts.Host('h', 0, 'a-1', '.')
        self.target = platform_targets.TargetServer('t')
        self.run = platform_targets.Run('p1', '/r/p1', 900, 100.1)
        self.run.ended_s = 100.9
        self.target.runs.append(self.run)
        self.target_faults = disruptions.Disruptions()
        self.other_target_faults = disruptions.Disruptions()
        self.req = pipelining.SentRequest('p1', 100.0)
        self.req.ended_s = 101.0
        self.idempotent = True

    def is_wrong(self):
        faults_by_target = {
            't': self.target_faults,
            'other': self.other_target_faults,
        }
        checker = kept.Checker([self.host], faults_by_target)
        caller = pipelining.PipeliningCaller('', 0, '', '/r/', 2)
        caller.requests.append(self.req)
        route = kept.Route('r', self.idempotent)
        checker.clients.append(kept.Client(self.host, caller, route))
        return len(checker.check([self.target])) == 1


class TestSoak:
    """Successive faults must not violate guarantees to callers or targets."""

    @pytest.mark.parametrize('seed', [1, *REGRESSIONS])
    async def test_promises_hold(self, seed, tmp_path):
        run = await runs.run_seed(seed, SECONDS, str(tmp_path), faults.FAULTS)
        assert not run.violations, run.fault_log
        assert run.statuses[200] > 0


class TestOverlappingStops:
    """Signals and changes in a planned stop must lose no request (issue 33)."""

    async def test_promises_hold(self, tmp_path):
        run = await runs.run_seed(
            STOPS_SEED, SECONDS, str(tmp_path), stops.FAULTS[-STOP_FAULTS:]
        )
        assert not run.violations, run.fault_log
        assert run.kept_checker.counts['in stops'] > 0

    def test_faults_are_chosen(self):
        chosen = stops.FAULTS[-STOP_FAULTS:]
        assert not set(chosen) & set(faults.FAULTS)
        assert stops.FAULTS[:-STOP_FAULTS] == faults.FAULTS


class TestStops:
    """A stop must leave another host reachable and end by itself."""

    @pytest.fixture
    async def run(self, tmp_path):
        return runs.Soak(1, str(tmp_path), [], 1)

    @pytest.mark.parametrize(('code', 'found'), [(0, 0), (-1, 1)])
    async def test_end_of_a_host(self, run, code, found):
        run.hosts[0].signalled_s.append(run.loop.time())
        run.hosts[0].process = mock.Mock(returncode=code)
        run.check_end(run.hosts[0])
        assert len(run.violations) == found

    @pytest.mark.parametrize(
        ('events', 'found'),
        [(('start', 'stop'), 0), (('start',), 1), ((), 1)],
    )
    async def test_killed_host(self, run, events, found):
        path = run.hosts[0].folder / f'{run.hosts[0].name}.log'
        lines = [f'{{"event":"{event}"}}\n' for event in ('stop', *events)]
        path.write_text(''.join(lines))
        run.hosts[0]._log_offset = len(lines[0])
        await self.test_end_of_a_host(run, -9, found)

    async def test_pause_excuses_it(self, run):
        now_s = run.loop.time()
        run.hosts[0].unplanned.note(now_s, now_s)
        await self.test_end_of_a_host(run, -1, 0)

    @pytest.mark.parametrize(
        ('started_s', 'sent'), [(0.0, False), (-1.0, True)]
    )
    async def test_hangup_as_the_interpreter_starts(self, run, started_s, sent):
        host = run.hosts[0]
        # Under nohup, the process would inherit that SIGHUP is ignored.
        inherited = signal.signal(signal.SIGHUP, signal.SIG_DFL)
        proc = await asyncio.create_subprocess_exec('sleep', '5')
        signal.signal(signal.SIGHUP, inherited)
        host.process = mock.Mock(returncode=None, pid=proc.pid)
        host.started_s = run.loop.time() + started_s
        with mock.patch('signal.pidfd_send_signal') as send:
            host.signal(signal.SIGHUP)
        proc.kill()
        await proc.wait()
        assert send.called == sent

    async def test_last_reachable_host_is_not_stopped(self, run):
        for host in run.hosts:
            host.started_s = float('-inf')
        run.hosts[0].stopping = True
        claimed = stops._claim(run)
        assert claimed in run.hosts[1:]
        assert claimed.stopping
        assert stops._claim(run) is None

    async def test_first_signal_of_a_process_counts(self, run):
        host = run.hosts[0]
        for _ in range(2):
            host.started_s = run.loop.time()
            host.process = mock.Mock(returncode=None, pid=os.getpid())
            with mock.patch('signal.pidfd_send_signal'):
                for signum in (signal.SIGHUP, signal.SIGTERM, signal.SIGTERM):
                    await asyncio.sleep(0.001)
                    host.signal(signum)
        assert len(host.signalled_s) == 2


class TestChecks:
    """A check that can't fail proves nothing."""

    async def removed_target(self, tmp_path, arrivals_s, faults_s=()):
        """Returns the violations for arrivals after a removal at 100 s."""
        run = runs.Soak(1, str(tmp_path), [])
        target = platform_targets.TargetServer('t')
        target.arrivals = [(at_s, '/w/1') for at_s in arrivals_s]
        run.removed_at_s['t'] = 100.0
        run.fault_times_s += faults_s
        run.check_times(target)
        return run.violations

    async def test_late_request_to_a_removed_target_is_found(self, tmp_path):
        limit_s = 100.0 + runs.DRAIN_LIMIT_S
        violations = await self.removed_target(tmp_path, [limit_s + 0.5])
        assert len(violations) == 1

    async def test_later_faults_do_not_excuse_it(self, tmp_path):
        # At the end of a run all faults are ended, which is a fault itself.
        violations = await self.removed_target(tmp_path, [103.0], [104.0])
        assert len(violations) == 1

    @pytest.mark.parametrize('fault_s', [98.0, 101.0])
    async def test_fault_before_it_excuses_it(self, tmp_path, fault_s):
        violations = await self.removed_target(tmp_path, [103.0], [fault_s])
        assert not violations

    async def test_request_within_the_limit_is_allowed(self, tmp_path):
        assert not await self.removed_target(tmp_path, [99.0, 101.0])

    async def test_delay_of_the_own_process_is_measured(self, tmp_path):
        run = runs.Soak(1, str(tmp_path), [])
        timer = asyncio.create_task(run._measure_delay())
        await asyncio.sleep(0)
        time.sleep(0.3)  # noqa: ASYNC251 blocks the event loop
        await asyncio.sleep(0.1)
        timer.cancel()
        assert run.late_s > 0.2


class TestCutOff:
    """A call that ran is lost unless its own host or target had a fault."""

    @pytest.mark.parametrize(
        ('part', 'found'),
        [('host', 0), ('target', 0), ('other host', 1), ('store', 1)],
    )
    async def test_faults_excuse_it(self, tmp_path, part, found):
        run = runs.Soak(1, str(tmp_path), [])
        target = platform_targets.TargetServer('t')
        now_s = run.loop.time()
        target.runs.append(platform_targets.Run('q1', '/r/q1', 900, now_s))
        {
            'host': run.hosts[0].unplanned,
            'target': run.target_disruptions['t'],
            'other host': run.hosts[1].unplanned,
            'store': run.store_disruptions,
        }[part].note(now_s, now_s)
        run.note_fault()
        run._check_cut_off(run.hosts[0], 'q1', now_s, EOFError())
        assert not run.violations
        assert len(run.kept_checker.check([target])) == found

    async def test_call_that_did_not_run(self, tmp_path):
        checker = runs.Soak(1, str(tmp_path), []).kept_checker
        checker.note_cut_off(hosts.Host('h', 0, 'a-1', '.'), 'q1', 100.0, 101.0)
        assert not checker.check([])
        assert checker.counts['calls cut off, not run'] == 1


class TestCalls:
    """A run must end, whatever its callers are doing at that moment."""

    async def test_call_that_is_cancelled_as_it_connects_ends(
        self, tmp_path, monkeypatch
    ):
        run = runs.Soak(1, str(tmp_path), [])
        connected = asyncio.get_running_loop().create_future()
        reader = asyncio.StreamReader()

        async def open_connection(ip, port):
            await connected
            return reader, mock.Mock()

        monkeypatch.setattr(asyncio, 'open_connection', open_connection)
        task = asyncio.create_task(run.call(run.hosts[0], runs.READ))
        await asyncio.sleep(0.01)
        connected.set_result(None)
        await asyncio.sleep(0)
        task.cancel()
        reader.feed_data(b'HTTP/1.1 404 X\r\ncontent-length: 0\r\n\r\n')
        with pytest.raises(asyncio.CancelledError):
            await task


class TestKeptConnections:
    """Lost requests on kept connections must be found, and only those."""

    @pytest.fixture
    def case(self):
        return KeptCase()

    @pytest.mark.parametrize('unread', [False, True])
    async def test_request_that_ran_without_an_answer(self, case, unread):
        case.req.unread = unread
        assert case.is_wrong()

    async def test_answered_request(self, case):
        case.req.complete = case.req.stamped = True
        assert not case.is_wrong()

    @pytest.mark.parametrize(
        ('ended_s', 'behind', 'sent', 'found'),
        [
            (100.3, False, True, True),
            (100.1, False, True, False),
            (100.3, True, True, False),
            (100.3, False, False, False),
        ],
    )
    async def test_request_that_did_not_run(
        self, case, ended_s, behind, sent, found
    ):
        case.target.runs.clear()
        case.req.ended_s, case.req.behind, case.req.sent = ended_s, behind, sent
        assert case.is_wrong() == found

    @pytest.mark.parametrize(
        ('fault_s', 'found'),
        [(96.0, True), (98.0, False), (100.5, False), (101.5, True)],
    )
    @pytest.mark.parametrize('part', ['host', 'target'])
    async def test_faults_excuse_it(self, case, part, fault_s, found):
        faulty = {'host': case.host.unplanned, 'target': case.target_faults}
        faulty[part].note(fault_s, fault_s)
        assert case.is_wrong() == found

    async def test_faults_of_others_do_not_excuse_it(self, case):
        case.other_target_faults.note(100.5, 100.6)
        case.host.disruptions.note(100.5, 100.6)
        assert case.is_wrong()

    @pytest.mark.parametrize(
        ('ended_s', 'found'), [(107.99, False), (107.9, True)]
    )
    async def test_timeout_excuses_it(self, case, ended_s, found):
        case.req.ended_s = ended_s
        assert case.is_wrong() == found

    @pytest.mark.parametrize(
        ('signalled_s', 'run_ended_s', 'found'),
        [(99.0, 104.5, False), (99.0, 103.5, True), (96.5, 102.0, True)],
    )
    async def test_late_work_in_a_stop_excuses_it(
        self, case, signalled_s, run_ended_s, found
    ):
        case.host.signalled_s.append(signalled_s)
        case.run.ended_s = run_ended_s
        case.req.ended_s = run_ended_s + 0.1
        assert case.is_wrong() == found

    @pytest.mark.parametrize(
        ('signalled_s', 'run_ended', 'found'),
        [
            (99.0, 'dropped', True),
            (99.0, 'done', False),
            (90, 'dropped', False),
        ],
    )
    async def test_own_answer_in_place_of_the_targets(
        self, case, signalled_s, run_ended, found
    ):
        case.host.signalled_s.append(signalled_s)
        case.req.complete = True
        case.req.status = 504
        case.run.ended = run_ended
        assert case.is_wrong() == found

    @pytest.mark.parametrize('idempotent', [False, True])
    async def test_refusal_after_a_run(self, case, idempotent):
        case.req.complete = True
        case.req.status = 503
        case.idempotent = idempotent
        assert case.is_wrong() == (not idempotent)

    @pytest.mark.parametrize('idempotent', [False, True])
    async def test_second_run(self, case, idempotent):
        case.req.complete = case.req.stamped = True
        case.target.runs.append(case.run)
        case.idempotent = idempotent
        assert case.is_wrong() == (not idempotent)

    async def test_answer_of_another_request(self, case):
        case.req.complete = case.req.mixed = True
        assert case.is_wrong()


class TestStatements:
    """The checks of what targets state must be able to fail."""

    def make_checker(self, *sent_s):
        """Returns a checker with requests of one host, and their target."""
        target = platform_targets.TargetServer('t')
        host = hosts.Host('h', 0, 'a-1', '.')
        checker = statements.StatementChecker(1, [host], [target])
        for number, at_s in enumerate(sent_s):
            checker.sent[f'q{number}'] = statements.SentRequest('h', at_s)
            target.arrivals.append((at_s + 0.01, f'/r/q{number}'))
        return checker, host, target

    @pytest.mark.parametrize(
        ('sent_s', 'fault_s', 'found'),
        [(102.1, None, 1), (101.9, None, 0), (102.1, 101.0, 0)],
    )
    async def test_request_to_a_leaving_target(self, sent_s, fault_s, found):
        checker, host, _ = self.make_checker(sent_s)
        checker._told_leaving_s['h', 't'] = 100.0
        if fault_s is not None:
            host.faults_s.append(fault_s)
        assert len(checker.check()) == found

    @pytest.mark.parametrize(('requests', 'found'), [(3, 1), (2, 0)])
    async def test_requests_in_a_pause(self, requests, found):
        checker, _, target = self.make_checker(*[101.0] * requests, 100.0)
        turned_away = platform_targets.TurnedAway(100.0, f'/r/q{requests}', 3.0)
        target.pauses.append(turned_away)
        assert len(checker.check()) == found

    @pytest.mark.parametrize(('requests', 'found'), [(24, 1), (23, 0)])
    async def test_requests_beyond_a_limit(self, requests, found):
        checker, _, target = self.make_checker(*[104.0] * requests)
        checker._told_limit_s['h', 't'] = 100.0
        limit = statements.NamedLimit(target, 3.0, 100.0)
        checker._limits.append(limit)
        assert len(checker.check()) == found


class TestConfigurations:
    """The check of the configuration in force must be able to fail."""

    def make_checker(self, status, sent_s, removed_s=float('inf')):
        """Returns a checker with an answer on a route added at 100 s."""
        host = hosts.Host('h', 0, 'a-1', '.')
        checker = configurations.ConfigurationChecker(
            1, [host], disruptions.Disruptions()
        )
        route = configurations.Route('v2', 100.0, removed_s)
        checker.routes.append(route)
        checker.answers.append(
            configurations.Answer('h', route, sent_s, sent_s + 0.1, status)
        )
        return checker, host

    @pytest.mark.parametrize(('sent_s', 'found'), [(102.1, 1), (101.9, 0)])
    async def test_added_route_that_is_refused(self, sent_s, found):
        checker, _ = self.make_checker(404, sent_s)
        assert len(checker.check()) == found

    @pytest.mark.parametrize(('sent_s', 'found'), [(112.1, 1), (111.9, 0)])
    async def test_removed_route_that_is_served(self, sent_s, found):
        checker, _ = self.make_checker(200, sent_s, 110.0)
        assert len(checker.check()) == found

    async def test_refusal_after_the_removal_is_right(self):
        checker, _ = self.make_checker(404, 109.95, 110.0)
        assert not checker.check()

    async def test_disturbed_host_is_excused(self):
        checker, host = self.make_checker(404, 103.0)
        host.disruptions.note(100.5, 101.0)
        assert not checker.check()

    async def test_host_is_not_excused_for_others(self):
        checker, _ = self.make_checker(404, 103.0)
        hosts.Host('other', 1, 'a-1', '.').disruptions.note(100.5, 103.0)
        assert len(checker.check()) == 1

    async def test_versions_keep_the_newest_routes(self):
        checker, _ = self.make_checker(200, 100.0)
        for version in (3, 4):
            checker.note_accepted(checker.prefixes(version))
        assert [route.prefix for route in checker.routes] == ['v2', 'v3', 'v4']
        assert checker.routes[0].removed_s < float('inf')
        assert checker.prefixes(5) == ['v4', 'v5']
