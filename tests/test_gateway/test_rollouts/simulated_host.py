"""Simulated hosts and targets of one rollout."""

import random

from ragwortchute.gateway import model
from ragwortchute.gateway.rollouts import environment
from ragwortchute.gateway.rollouts import participant

SERVICE = 's'
LONGEST_S = 4.0
SHARE = 0.1
SLOTS = 6


class Log:
    """Event log that keeps the lines of decisions."""

    def __init__(self) -> None:
        self.lines = []

    def event(self, kind, **fields):
        if kind == 'rollout-decision':
            self.lines.append(fields)


class Target:
    """Simulated target."""

    same_region = True

    def __init__(self, name, version, domain, slowness):
        self.entry = model.TargetEntry(
            name, SERVICE, '', 0, domain, SLOTS, True, 0.0, 0, version
        )
        self.running = 0
        self.slowness = slowness

    def is_cold(self, now_s):
        return False


class Host(environment.Environment):
    """Simulated host."""

    def __init__(self, world, name, incarnation=1):
        self.world = world
        self.name = name
        self.alive = True
        self.cut_off = False
        self.reaches_store = True
        self.incarnation = incarnation
        self.started_s = world.now_s
        self.part = participant.Participant(
            model.HostEntry(name, incarnation, 'a1', 'a', '', '', 0),
            SHARE,
            self,
            self.send,
            random.Random(world.rng.random()),
            world.log,
        )

    def send(self, names, payload):
        for name in names:
            self.world.send(self, name, payload)

    def neighbours(self, now_s):
        return self.world.neighbours(self.cut_off)

    def longest_s(self, service):
        return LONGEST_S

    def obstacle(self, service, version):
        return ''

    def is_warm(self, service, version, now_s):
        return True
