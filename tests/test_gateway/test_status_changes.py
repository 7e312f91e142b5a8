"""Tests of changes between the choice of a target and the send."""

import asyncio

import msgspec
import pytest

from ragwortchute.gateway import model
from ragwortchute.gateway.http import http_messages
from standins import platform_targets
from tests.test_gateway import rig as rigs


def unready(rig, target):
    entry = msgspec.structs.replace(rig.entry(target), ready=False)
    rig.state.set_target(entry, 2)


def remove(rig, target):
    rig.state.remove_target(target.name, 2)


def restart(rig, target):
    entry = msgspec.structs.replace(rig.entry(target), born_ms=99)
    rig.state.set_target(entry, 2)


def evacuate(rig, target):
    rig.state.set_domains_out([target.failure_domain], 2)


def move_home(rig, target):
    cfg = rigs.configuration(rigs.route(homes=('b',)), version=2)
    rig.state.set_configuration(2, cfg)


CHANGES = (unready, remove, evacuate, move_home)


def change_after_choice(monkeypatch, rig, change):
    """Makes a change between the first choice of a target and the send."""
    select = rig.selector.select
    chosen = []

    async def select_and_change(required):
        placed = await select(required)
        if not chosen:
            chosen.append(placed.target.entry.name)
            target = next(
                item for item in rig.targets if item.name == chosen[0]
            )
            change(rig, target)
        return placed

    monkeypatch.setattr(rig.selector, 'select', select_and_change)
    return chosen


class TestChosenTarget:
    """A target must not get a request after a change that forbids it."""

    @pytest.mark.parametrize('change', CHANGES)
    async def test_request_goes_to_another_target(
        self, start, monkeypatch, change
    ):
        targets = [
            platform_targets.TargetServer('t0', failure_domain='a1'),
            platform_targets.TargetServer('t1', failure_domain='b1'),
        ]
        rig = await start(*targets)
        chosen = change_after_choice(monkeypatch, rig, change)
        assert (await rig.request()).status == 200
        assert chosen == ['t0']
        assert not targets[0].arrivals
        assert len(targets[1].arrivals) == 1

    async def test_new_process_gets_the_request_on_a_new_connection(
        self, start, monkeypatch
    ):
        (target,) = [platform_targets.TargetServer('t0')]
        rig = await start(target)
        change_after_choice(monkeypatch, rig, restart)
        assert (await rig.request()).status == 200
        assert len(target.arrivals) == 1

    @pytest.mark.parametrize('change', CHANGES)
    async def test_request_is_refused_without_another_target(
        self, start, monkeypatch, change
    ):
        target = platform_targets.TargetServer('t0', failure_domain='a1')
        rig = await start(target)
        change_after_choice(monkeypatch, rig, change)
        answer = await rig.request()
        assert answer.status == 503
        assert 'retry-after' in answer.headers
        assert not target.arrivals

    async def test_connections_are_kept(self, start, monkeypatch):
        # That of the target that is not used any more must be given back.
        targets = [
            platform_targets.TargetServer('t0', failure_domain='a1'),
            platform_targets.TargetServer('t1', failure_domain='b1'),
        ]
        rig = await start(*targets)
        change_after_choice(monkeypatch, rig, move_home)
        await rig.request()
        assert rig.state.targets['t0'].pool.has_idle


class TestHomes:
    """The homes of a route are binding from its last configuration on."""

    @pytest.mark.parametrize('homes', [(), ('a',), ('b',), ('a', 'b')])
    async def test_homes_of_the_request_are_followed(self, start, homes):
        rig = await start(platform_targets.TargetServer('t0'))
        call = await self.accept(rig)
        cfg = rigs.configuration(rigs.route(homes=homes), version=2)
        rig.state.set_configuration(2, cfg)
        assert rig.dispatcher._intake.recheck(call) == ''
        assert call.homes == call.route.homes == homes

    async def test_route_that_is_gone_leaves_them(self, start):
        rig = await start(
            platform_targets.TargetServer('t0'),
            routes=[rigs.route(homes=('a',))],
        )
        call = await self.accept(rig)
        cfg = rigs.configuration(rigs.route(path_prefix='/q/'), version=2)
        rig.state.set_configuration(2, cfg)
        assert rig.dispatcher._intake.recheck(call) == ''
        assert call.homes == ('a',)

    async def test_homes_of_the_organisation_bind_too(self, start):
        rig = await start(platform_targets.TargetServer('t0'))
        call = await self.accept(rig)
        call.organisation = model.Organisation(
            'o', frozenset({'k'}), homes=('a',)
        )
        call.key = 'k'
        for version, homes in ((2, ('a', 'b')), (3, ('b',))):
            cfg = rigs.configuration(rigs.route(homes=homes), version=version)
            cfg = msgspec.structs.replace(
                cfg, organisations={'o': call.organisation}
            )
            call.cfg = cfg if version == 2 else call.cfg
            rig.state.set_configuration(version, cfg)
            call.cfg = msgspec.structs.replace(cfg)
            reason = rig.dispatcher._intake.recheck(call)
            if version == 2:
                assert (reason, call.homes) == ('', ('a',))
        assert reason

    async def test_request_is_not_relayed_to_a_former_home(self, deployment):
        await deployment.start('a1', 'b1')
        host = deployment.hosts[0]
        await deployment.until(
            lambda: (
                len(host.hosts()) == 2
                and all(item.state.complete for item in deployment.hosts)
            )
        )
        self.set_homes(host, ('b',))
        relays = host.dispatcher._relays
        recheck = relays.recheck

        def change_and_recheck(call):
            self.set_homes(host, ('a',))
            return recheck(call)

        relays.recheck = change_and_recheck
        ip, port = host._settings.me.caller_address.split(':')
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write(b'GET /a/x HTTP/1.1\r\nHost: x.example\r\n\r\n')
        assert (await rigs.read_response(reader)).status == 200
        writer.close()
        assert host.stats.relays == 0
        assert len([run for t in deployment.targets for run in t.runs]) == 1

    def set_homes(self, host, homes):
        cfg = host.state.cfg
        routes = tuple(
            msgspec.structs.replace(route, homes=homes) for route in cfg.routes
        )
        cfg = msgspec.structs.replace(cfg, routes=routes)
        host.state.set_configuration(host.state.cfg_revision + 1, cfg)

    async def accept(self, rig):
        loop_s = rig.dispatcher._loop.time()
        req = http_messages.Request(
            'GET', '/r/x', 'example', [], [], loop_s, None
        )
        return await rig.dispatcher._intake.accept(req, relayed=False)
