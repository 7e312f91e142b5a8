"""Whether the configuration in force is recent enough to refuse for good."""

import asyncio
from collections import abc

from ragwortchute.gateway import host_state
from ragwortchute.gateway.store import store_follower

# Share of the time within which a change must be in force. A key that was
# added longer ago than this is in a configuration that was confirmed within
# it. Hosts read another source when 0.8 of the time has passed, which leaves
# 0.1 for its answer; the last 0.1 covers clocks of different rates.
CONFIRMED_WITHIN_FRACTION = 0.9


class Recency:
    """Tells whether the configuration was confirmed recently.

    Args:
        state: Configuration in force.
        followers: Followers of the store by prefix, filled later.
        config_s: Time in seconds within which a change must be in force.
    """

    __slots__ = ('_followers', '_loop', '_max_age_s', '_state')

    def __init__(
        self,
        state: host_state.HostState,
        followers: abc.Mapping[str, store_follower.Follower],
        config_s: float,
    ) -> None:
        self._state = state
        self._followers = followers
        self._max_age_s = config_s * CONFIRMED_WITHIN_FRACTION
        self._loop = asyncio.get_running_loop()

    def is_confirmed(self) -> bool:
        """Returns whether no change can be missing here for too long.

        A newer configuration that other hosts have named counts at once.
        """
        age_s = self._loop.time() - self._state.cfg_confirmed_s
        return age_s <= self._max_age_s and not any(
            follower.behind_s()
            for follower in self._followers.values()
            if follower.holds_configuration
        )
