"""Registries of plug-ins, filled by decorators."""

from collections import abc
import difflib
from typing import Generic
from typing import TypeVar

from ragwortchute import errors

T = TypeVar('T')


class Registry(Generic[T]):
    """Implementations of one kind of plug-in by name.

    Args:
      kind: Kind of plug-in for error messages, such as `balancer`.
    """

    __slots__ = ('_implementations', 'kind')

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self._implementations: dict[str, T] = {}

    def register(self, name: str) -> abc.Callable[[T], T]:
        """Returns a decorator that registers its argument under a name.

        Raises:
          RegistryError: The name is already taken.
        """

        def decorate(implementation: T) -> T:
            if name in self._implementations:
                raise errors.RegistryError(
                    f'{self.kind} {name!r} is registered twice; '
                    f'known: {", ".join(self.names())}',
                    step='register',
                )
            self._implementations[name] = implementation
            return implementation

        return decorate

    def get(self, name: str) -> T:
        """Returns the implementation registered under a name.

        Raises:
          RegistryError: The name is unknown.
        """
        if name in self._implementations:
            return self._implementations[name]
        matches = difflib.get_close_matches(name, self._implementations, n=1)
        hint = f'; did you mean {matches[0]!r}?' if matches else ''
        raise errors.RegistryError(
            f'unknown {self.kind} {name!r}; '
            f'known: {", ".join(self.names())}{hint}',
            step='look-up',
        )

    def names(self) -> list[str]:
        """Returns the registered names in sorted order."""
        return sorted(self._implementations)
