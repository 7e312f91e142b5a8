"""Data types of what the check of a configuration reports."""

import enum

import msgspec


class Severity(enum.StrEnum):
    """How severe a finding is."""

    ERROR = 'error'  # requests fail, or an entry has no effect
    WARNING = 'warning'  # likely a mistake; the gateway can use it


class Fault(msgspec.Struct, frozen=True):
    """What a rule objects to.

    Attributes:
        path: Path in the file, such as `routes[3].timeout_s`.
        message: What is wrong. It must not contain a key.
        allowed: The values that are allowed, empty if that is evident.
    """

    path: str
    message: str
    allowed: str = ''


class Finding(msgspec.Struct, frozen=True):
    """A fault with the rule that found it.

    Attributes:
        severity: How severe it is.
        rule: Identifier of the rule, which does not change between versions.
        path: Path in the file, empty for the file as a whole.
        message: What is wrong.
        allowed: The values that are allowed, empty if that is evident.
    """

    severity: Severity
    rule: str
    path: str
    message: str
    allowed: str = ''


def make(severity: Severity, rule: str, fault: Fault) -> Finding:
    """Returns the finding for a fault."""
    return Finding(severity, rule, fault.path, fault.message, fault.allowed)
