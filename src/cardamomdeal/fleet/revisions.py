"""Revisions of the store, in one order that outlasts its restores.

A store that is restored from an older copy gives revisions out again, and its
era rises by one. A revision here holds both in one number, the era first, so
that no comparison can forget the era.
"""

NUMBER_BITS = 48
# Both fit the 63 bits of a signed integer.
ERA_BITS = 15
MAX_NUMBER = 2**NUMBER_BITS - 1
MAX_ERA = 2**ERA_BITS - 1


def pack(era: int, number: int) -> int:
    """Return the revision that has this number in an era of the store."""
    return era << NUMBER_BITS | number


def era(revision: int) -> int:
    """Return how often the store had been restored before the revision."""
    return revision >> NUMBER_BITS


def number(revision: int) -> int:
    """Return the number by which the store knows the revision."""
    return revision & MAX_NUMBER


def is_restored(before: int, after: int) -> bool:
    """Return whether the store was restored between two revisions."""
    return era(after) > era(before)
