"""Reads whole numbers that others send, which may be no number at all.

`str.isdigit` is also true for superscripts, which `int` refuses, and `int` refuses numbers of some
thousand digits; each raises ValueError.
"""

from __future__ import annotations

from typing import Final

MAX_DIGITS: Final = 18
"""Such a number fits into 64 bits."""


def parse_digits(text: str, max_digits: int = MAX_DIGITS) -> int | None:
    """The number that ASCII digits make up; None for any other text, or more digits.

    >>> parse_digits("007"), parse_digits("\u00b2"), parse_digits("-1"), parse_digits("1" * 5000)
    (7, None, None, None)
    """
    valid = text.isascii() and text.isdigit() and len(text) <= max_digits
    return int(text) if valid else None
