"""Organisations: who calls, and what their callers may use.

`key_index` maps the keys of a configuration to organisations, `identity`
decides whether a request is refused for lack of a valid key. Quotas implement
the interface `Quotas`, which the intake calls.
"""

import abc

from ragwortchute.gateway import model


class Quotas(abc.ABC):
    """Interface of the quotas of organisations.

    Only the first host that reads a request asks for credit. Retries, hedges
    and relays of the request need none.
    """

    __slots__ = ()

    @abc.abstractmethod
    def admit(
        self, organisation: model.Organisation, now_s: float, priority: int = 0
    ) -> float:
        """Spends one credit for a request of an organisation.

        Args:
            organisation: The organisation, of the configuration in force.
            now_s: Loop time in seconds.
            priority: Priority of the route; 0 is the most urgent. Beyond the
                quota, more urgent requests of the organisation go first.

        Returns:
            0.0 if the request is admitted; else the time in seconds until
            credit is expected, and nothing is spent.
        """

    @abc.abstractmethod
    def give_back(self, organisation: model.Organisation, now_s: float) -> None:
        """Returns the credit of an admitted request that has not run.

        Args:
            organisation: The organisation that was admitted. It may be of an
                earlier configuration.
            now_s: Loop time in seconds.
        """
