"""Imports the plug-in modules, which register themselves on import."""

import importlib
import pkgutil
import types

from ragwortchute import admission
from ragwortchute import balancers
from ragwortchute import codecs
from ragwortchute import stores

PLUGIN_PACKAGES = (admission, balancers, codecs, stores)


def load() -> None:
    """Imports every module of the packages in `PLUGIN_PACKAGES`."""
    for package in PLUGIN_PACKAGES:
        _import_modules(package)


def _import_modules(package: types.ModuleType) -> None:
    for module in pkgutil.iter_modules(
        package.__path__, f'{package.__name__}.'
    ):
        importlib.import_module(module.name)
