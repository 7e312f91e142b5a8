"""Registries of plug-ins, filled by decorators."""

from collections import abc
import difflib
from typing import Generic
from typing import TypeVar

from ragwortchute import errors

T = TypeVar('T')


class Registry(Generic[T]):
    """Named implementations of one kind of plug-in.

    Args:
      kind: What is registered, for error messages, such as `balancer`.
    """

    __slots__ = ('_items', 'kind')

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self._items: dict[str, T] = {}

    def register(self, name: str) -> abc.Callable[[T], T]:
        """Returns a decorator that registers its argument under a name.

        Raises:
          RegistryError: The name is already taken.
        """

        def decorate(item: T) -> T:
            if name in self._items:
                raise errors.RegistryError(
                    f'{self.kind} {name!r} is registered twice; '
                    f'known: {", ".join(self.names())}',
                    step='register',
                )
            self._items[name] = item
            return item

        return decorate

    def get(self, name: str) -> T:
        """Returns the implementation of a name.

        Raises:
          RegistryError: The name is unknown.
        """
        if name in self._items:
            return self._items[name]
        near = difflib.get_close_matches(name, self._items, n=1)
        hint = f'; did you mean {near[0]!r}?' if near else ''
        raise errors.RegistryError(
            f'unknown {self.kind} {name!r}; '
            f'known: {", ".join(self.names())}{hint}',
            step='look-up',
        )

    def names(self) -> list[str]:
        """Returns the registered names in sorted order."""
        return sorted(self._items)
