"""What a gateway keeps of a kind of object when the store comes back from an older copy.

What an older copy lacks was not removed, and what is back in it is no new order: those who wrote it
write it again.  Until then a gateway goes on with what it knows, for as long as its kind says.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Literal, NamedTuple

from ramppost.platform.store import StoredObject

Lasting = Literal["no", "until settled", "always"]
"""How long an object that the older copy lacks is kept: not at all, until the state of the store is
settled, or until it is there again."""


class Retention(NamedTuple):
    """What is kept of a kind.

    `keeps` gets the known object and the one that a store of a later era holds, and returns whether
    the known one is newer in spite of that.
    """

    keeps: Callable[[StoredObject, StoredObject], bool]
    missing: Lasting


KEEP_NOTHING = Retention(lambda known, found: False, "no")
"""For kinds whose entries are written again by their owners in a moment, or by gateways."""
