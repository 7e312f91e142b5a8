"""Imports the plug-ins, which register themselves."""

import importlib
import pkgutil
import types

from ragwortchute import admission
from ragwortchute import balancers
from ragwortchute import codecs
from ragwortchute import stores

KINDS = (admission, balancers, codecs, stores)


def load() -> None:
    """Imports every module of the subpackages that hold plug-ins."""
    for kind in KINDS:
        _load_kind(kind)


def _load_kind(kind: types.ModuleType) -> None:
    for module in pkgutil.iter_modules(kind.__path__, f'{kind.__name__}.'):
        importlib.import_module(module.name)
