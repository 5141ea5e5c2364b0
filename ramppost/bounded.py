"""Keeps dictionaries that grow with what happens within a maximum size."""

from __future__ import annotations

from typing import Any


def drop_oldest(by_key: dict[Any, Any], max_size: int) -> None:
    """Drop the entries that were added first until at most `max_size` are left.

    >>> seen = {"a": 1, "b": 2, "c": 3}
    >>> drop_oldest(seen, 2)
    >>> seen
    {'b': 2, 'c': 3}
    """
    while len(by_key) > max_size:
        del by_key[next(iter(by_key))]
