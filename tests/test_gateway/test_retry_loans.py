"""Tests of the loans of retries between hosts."""

import random

from hypothesis import given
from hypothesis import strategies as st

from ragwortchute.gateway import retry_budget
from ragwortchute.gateway.peers import retry_loans

RATIO = 0.2
SLACK = 20.0
WINDOW_S = 10.0


class Network:
    """Hosts that lend retries over a network which may lose messages.

    Attributes:
        queue: Messages on their way: receiver, sender and message.
        lossy: Whether messages stay in the queue instead of being delivered.
        now_s: Loop time of all hosts.
    """

    def __init__(self, count, seed=1, slack=SLACK):
        self.rng = random.Random(seed)
        self.queue = []
        self.lossy = False
        self.now_s = 100.0
        self.count = count
        self.budgets = [
            retry_budget.RetryBudget(RATIO, slack, WINDOW_S)
            for _ in range(count)
        ]
        self.hosts = []
        for number, budget in enumerate(self.budgets):
            host = retry_loans.RetryLoans(
                lambda _, budget=budget: budget, self.rng
            )
            host.send = self.sender(number)
            host.reply = self.replier(number)
            self.hosts.append(host)

    def sender(self, number):
        def send(message, lenders):
            others = [other for other in range(self.count) if other != number]
            chosen = self.rng.sample(others, min(lenders, len(others)))
            for other in chosen:
                self.queue.append((other, str(number), message))
            return [str(other) for other in chosen]

        return send

    def replier(self, number):
        def reply(name, message):
            self.queue.append((int(name), str(number), message))

        return reply

    def deliver(self):
        while self.queue:
            receiver, sender, message = self.queue.pop(0)
            self.hosts[receiver].handle(sender, message, self.now_s, self.count)

    def try_spend(self, number):
        """Spends a retry, a borrowed one if the host has none left."""
        budget = self.budgets[number]
        if budget.available(self.now_s, self.count) < 1:
            self.hosts[number].ask('svc', self.now_s)
            if not self.lossy:
                self.deliver()
        return budget.try_spend(self.now_s, self.count)


class TestLimit:
    """Loans must not let all hosts together exceed the limit."""

    @given(
        st.lists(
            st.tuples(
                st.floats(0, 3),
                st.integers(0, 4),
                st.integers(0, 6),
                st.sampled_from(
                    ['deliver', 'lose', 'late', 'repeat', 'dead', 'deliver']
                ),
            ),
            max_size=120,
        )
    )
    def test_limit_holds_with_lost_late_and_repeated_messages(self, steps):
        net = Network(5)
        requests = []
        retries = []
        for gap_s, host, wanted, fate in steps:
            net.now_s += gap_s
            net.budgets[host].note_request(net.now_s)
            requests.append(net.now_s)
            net.lossy = fate != 'deliver'
            if fate == 'lose':
                net.queue.clear()
            elif fate == 'repeat':
                net.queue += net.queue
            elif fate == 'dead':
                # A host restarts and has forgotten its loans and retries.
                net.queue = [item for item in net.queue if item[0] != host]
            for _ in range(wanted):
                if net.try_spend(host):
                    retries.append(net.now_s)
            recent = [at_s for at_s in retries if at_s > net.now_s - WINDOW_S]
            received = [
                at_s for at_s in requests if at_s > net.now_s - WINDOW_S
            ]
            assert len(recent) <= RATIO * len(received) + SLACK

    def test_late_answer_lends_nothing(self):
        net = Network(2)
        net.lossy = True
        while net.try_spend(0):
            pass
        net.now_s += 1.5
        net.hosts[0].ask('svc', net.now_s)
        requests, net.queue = net.queue, []
        receiver, sender, message = requests[-1]
        net.hosts[receiver].handle(sender, message, net.now_s, 2)
        assert net.queue
        net.now_s += retry_budget.LOAN_VALID_S
        net.deliver()
        assert not net.budgets[0].try_spend(net.now_s, 2)

    def test_repeated_answer_lends_once(self):
        net = Network(2)
        net.lossy = True
        while net.try_spend(0):
            pass
        net.now_s += 1.5
        net.hosts[0].ask('svc', net.now_s)
        receiver, sender, message = net.queue.pop()
        net.queue.clear()
        net.hosts[receiver].handle(sender, message, net.now_s, 2)
        net.queue *= 5
        net.deliver()
        assert net.budgets[0].available(net.now_s, 2) == (
            retry_loans.LOAN_RETRIES
        )


class TestShares:
    """A host must not refuse a retry while others have many left.

    Load: 300 hosts of a failure domain get 1.5 requests a second each, at
    random; a tenth of the requests is rejected by the first target.
    """

    def refused(self, lend):
        net = Network(300, slack=430.0)
        load = random.Random(2)
        wanted = refused = 0
        for _ in range(200):
            net.now_s += 0.1
            for number in range(net.count):
                if load.random() >= 0.15:
                    continue
                net.budgets[number].note_request(net.now_s)
                if load.random() < 0.1:
                    wanted += 1
                    if lend:
                        refused += not net.try_spend(number)
                    else:
                        refused += not net.budgets[number].try_spend(
                            net.now_s, net.count
                        )
        return refused / wanted

    def test_few_retries_are_refused(self):
        assert self.refused(lend=False) > 0.03
        assert self.refused(lend=True) < 0.01
