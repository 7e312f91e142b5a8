"""What one host admits of the requests of an organisation.

In contact with a coordinator, a host admits the share of its requests that was
announced, and between two announcements no more than a part of the credit.
Without contact, it admits a part of its equal share of the rate, and everything
for a short time after its start.
"""

import random

from ragwortchute.gateway import model
from ragwortchute.gateway.organisations import quota_accounts
from ragwortchute.gateway.organisations import quota_limits
from ragwortchute.gateway.organisations import quota_messages
from ragwortchute.gateway.organisations import quota_priorities
from ragwortchute.gateway.peers import shares

# Requests that a host may admit between two announcements: at least this many,
# and the larger one of this share of the credit and its share of the demand.
MIN_BETWEEN = 3.0
LEVEL_FRACTION = 0.2
# The same for organisations that are not announced, as a share of the largest
# credit.
UNLISTED_FRACTION = 0.3
# Number of hosts from which on that is reduced in proportion, as all of them
# may be cut off.
UNLISTED_HOSTS = 120
# Factor on what the rate adds between two announcements.
RATE_HEADROOM = 1.2
# Longest time for which the rate adds to that, in seconds: a new coordinator
# announces nothing new for a while.
MAX_ADDED_S = 1.5
# Weight of the last interval in the demand of a host.
DEMAND_WEIGHT = 0.3
# Reports that name a count after it has changed.
REPORTS_PER_CHANGE = 2
# A credit that was given back is kept for this long for the next request, in
# seconds: the body of an upload is read meanwhile.
RETURNED_S = 1.0
# Time that is named to callers while it is not known how many hosts there are,
# in seconds.
START_WAIT_S = 1.0
# Longest time that is named to callers, in seconds.
MAX_WAIT_S = 30.0


class Use:
    """Requests of one organisation at this host.

    Args:
        limit: How the quota of the organisation is kept.
        rng: Source of randomness.

    Attributes:
        organisation: The organisation that the limit was made for.
        limit: How the quota of the organisation is kept.
        admitted: Requests admitted since the start of the host.
        demanded: Requests received since the start of the host.
        reports_left: Reports that should still name the counts.
        changed_s: Loop time of the last request or credit that was returned, in
            seconds.
        state: Last announced state, None if the organisation is not listed.
        is_idle: Whether the host does not follow the organisation, as it got no
            request for a while.
    """

    __slots__ = (
        '_announced_share',
        '_between',
        '_bucket',
        '_carried',
        '_demand_per_s',
        '_mark_s',
        '_marks',
        '_measured',
        '_mix',
        '_returned',
        '_returned_s',
        '_rng',
        '_admitted_at_start',
        'admitted',
        'changed_s',
        'demanded',
        'is_idle',
        'limit',
        'organisation',
        'reports_left',
        'state',
    )

    def __init__(self, limit: quota_limits.Limit, rng: random.Random) -> None:
        self.organisation: model.Organisation | None = None
        self.limit = limit
        self.admitted = 0
        self.demanded = 0
        self.reports_left = 0
        self.changed_s = 0.0
        self.state: quota_messages.State | None = None
        self.is_idle = True
        self._rng = rng
        # Sums of the admitted fractions of requests, by priority. Hosts begin
        # at random values, so that the total over all hosts has no bias.
        self._carried: dict[int, float] = {}
        self._mix = quota_priorities.PriorityMix()
        self._between = 0
        # Demand of this host as a share of the rate at the last announcement.
        self._announced_share = 0.0
        self._demand_per_s = 0.0
        self._measured = 0
        self._marks = (0, 0)
        self._mark_s = float('-inf')
        self._returned = 0
        self._returned_s = 0.0
        # Requests that were admitted as the host had just started.
        self._admitted_at_start = 0
        self._bucket: shares.TokenBucket | None = None

    def admit(
        self, now_s: float, announced_s: float, hosts: int, priority: int = 0
    ) -> float:
        """Admits a request as announced.

        Args:
            now_s: Loop time in seconds.
            announced_s: Loop time of the last announcement.
            hosts: Number of hosts that may be alive.
            priority: Priority of its route; 0 is the most urgent.

        Returns:
            0.0 if it is admitted, else the time until credit is expected.
        """
        self._note_request(now_s)
        portion = None
        if self.throttled:
            portion = self._mix.portion(priority, self.state.admit_fraction)
        self._mix.note(priority, now_s)
        if portion is not None and not self._is_next(
            priority, portion.admitted
        ):
            return self._shared_wait_s(self.state, portion)
        if self._between >= self._most_between(now_s - announced_s, hosts):
            return 1 / self.limit.rate_per_s
        self._between += 1
        self.admitted += 1
        return 0.0

    def admit_at_start(self, now_s: float, age_s: float) -> bool:
        """Admits a request if this host has only just started.

        Args:
            now_s: Loop time in seconds.
            age_s: Time in seconds since the host has its configuration.

        Returns:
            Whether it is admitted. Else it is not counted.
        """
        if age_s >= self.limit.start_s:
            return False
        self._note_request(now_s)
        self._admitted_at_start += 1
        self.admitted += 1
        return True

    def admit_alone(self, now_s: float, hosts: int, *, fresh: bool) -> float:
        """Admits a request within the share of a host without contact.

        Args:
            now_s: Loop time in seconds.
            hosts: Number of hosts that may be alive, 0 if it is not known yet.
            fresh: Whether this host has had no contact since its start.

        Returns:
            0.0 if it is admitted, else the time until credit is expected.
        """
        self._note_request(now_s)
        if not hosts:
            return START_WAIT_S
        hosts = shares.assumed_hosts(hosts)
        tokens = self.limit.alone_tokens / hosts
        if fresh:
            tokens *= quota_limits.FRESH_FACTOR
        if self._bucket is None:
            # Shares below one request add up to the whole over all hosts.
            first = tokens + self._rng.random() - self._admitted_at_start
            self._bucket = shares.TokenBucket(max(0.0, first))
        rate_per_s = (
            self.limit.rate_per_s * quota_limits.ALONE_RATE_FRACTION / hosts
        )
        wait_s = self._bucket.wait_s(now_s, rate_per_s, 1 + tokens)
        if wait_s > 0:
            return min(MAX_WAIT_S, wait_s)
        self._bucket.spend()
        self.admitted += 1
        return 0.0

    @property
    def throttled(self) -> bool:
        """Whether only a share of the requests is to be admitted."""
        return self.state is not None and self.state.admit_fraction < 1

    def give_back(self, now_s: float) -> None:
        """Keeps the credit of an admitted request for the next one."""
        self._returned += 1
        self._returned_s = self.changed_s = now_s

    def take_returned(self, now_s: float) -> bool:
        """Uses a credit that was given back; returns False if there is none.

        The request is not counted: its credit was, and its demand was if it is
        the same request, which asks again once its body has been read.
        """
        if not self._returned or now_s - self._returned_s > RETURNED_S:
            return False
        self._returned -= 1
        return True

    def note_announcement(self, state: quota_messages.State | None) -> None:
        """Takes over what the coordinator has announced."""
        self.state = state
        self._between = 0
        self._announced_share = min(
            1.0, self._demand_per_s / self.limit.rate_per_s
        )

    def measure(self, interval_s: float, now_s: float) -> None:
        """Updates the demand of this host, periodically.

        Args:
            interval_s: Time since the last call in seconds.
            now_s: Loop time in seconds.
        """
        received = self.demanded - self._measured
        self._measured = self.demanded
        self._demand_per_s += DEMAND_WEIGHT * (
            received / interval_s - self._demand_per_s
        )
        if self._returned and now_s - self._returned_s > RETURNED_S:
            self.admitted -= self._returned
            self._returned = 0
            self.reports_left = REPORTS_PER_CHANGE
        if now_s - self._mark_s >= quota_accounts.RECENT_S:
            self._marks = (self._marks[1], self.admitted)
            self._mark_s = now_s

    def report(self) -> quota_messages.Use:
        """Returns the counts as they are reported."""
        self.reports_left -= 1
        return quota_messages.Use(
            self.limit.key,
            self.admitted,
            self.demanded,
            self.admitted - self._marks[0],
        )

    def _is_next(self, priority: int, admitted: float) -> bool:
        """Returns whether the sum of a priority has reached a whole request."""
        carried = self._carried.get(priority)
        if carried is None:
            carried = self._rng.random()
        carried += admitted
        self._carried[priority] = carried % 1
        return carried >= 1

    def _note_request(self, now_s: float) -> None:
        self.demanded += 1
        self.reports_left = REPORTS_PER_CHANGE
        self.changed_s = now_s

    def _most_between(self, elapsed_s: float, hosts: int) -> float:
        """Returns how many requests may be admitted between announcements."""
        limit = self.limit
        state = self.state
        elapsed_s = min(elapsed_s, MAX_ADDED_S)
        if state is None:
            fraction = UNLISTED_FRACTION * min(
                1.0, UNLISTED_HOSTS / shares.assumed_hosts(hosts)
            )
            return (
                max(MIN_BETWEEN, fraction * limit.depth)
                + self._announced_share * limit.rate_per_s * elapsed_s
            )
        own_share = min(1.0, self._demand_per_s / max(state.demand_per_s, 1e-3))
        level = max(0.0, state.level)
        return (
            max(MIN_BETWEEN, LEVEL_FRACTION * level, own_share * level)
            + own_share * limit.rate_per_s * elapsed_s * RATE_HEADROOM
        )

    def _shared_wait_s(
        self, state: quota_messages.State, portion: quota_priorities.Portion
    ) -> float:
        """Returns when a refused caller should return.

        The callers that are refused in a second return spread over the time in
        which the rate has room for all of them, the most urgent ones first.
        """
        rate_per_s = self.limit.rate_per_s
        credit_s = max(0.0, 1 - state.level) / rate_per_s
        before = state.demand_per_s * portion.refused_before
        waiting = max(1.0, state.demand_per_s * portion.refused)
        spread_s = (before + 2 * self._rng.random() * waiting) / rate_per_s
        return min(MAX_WAIT_S, credit_s + spread_s)
