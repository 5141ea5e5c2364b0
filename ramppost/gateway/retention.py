"""What a gateway keeps of a kind of object when the store comes back from an older copy.

What an older copy lacks was not removed, and what is back in it is no new order: those who wrote it
write it again.  Until then a gateway goes on with what it knows, for as long as its kind says.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, Literal, NamedTuple

from ramppost.platform.documents import configuration_version, rollout_order, upstream
from ramppost.platform.store import StoredObject
from ramppost.wire.codec import BadMessage

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


def _has_newer_version(known: StoredObject, found: StoredObject) -> bool:
    """Whether the known configuration is newer than one found in a later era of the store."""
    known_version, found_version = configuration_version(known), configuration_version(found)
    return known_version is not None and (found_version or 0) < known_version


def _is_later_upstream(known: StoredObject, found: StoredObject) -> bool:
    """Whether an upstream is leaving, or has started anew, that a later era of the store holds as
    it was before."""
    known_upstream, found_upstream = upstream(known), upstream(found)
    if isinstance(known_upstream, BadMessage) or isinstance(found_upstream, BadMessage):
        return False
    if known_upstream.key != found_upstream.key:
        return 0 < found_upstream.started_ms < known_upstream.started_ms
    return known_upstream.draining and not found_upstream.draining


def _has_ended_since(known: StoredObject, found: StoredObject) -> bool:
    """Whether a roll-out has ended that a later era of the store holds without its end."""
    known_order, found_order = rollout_order(known), rollout_order(found)
    return (
        not isinstance(known_order, BadMessage)
        and not isinstance(found_order, BadMessage)
        and known_order.version == found_order.version
        and known_order.state != "ordered"
        and found_order.state == "ordered"
    )


def _never(known: StoredObject, found: StoredObject) -> bool:
    return False


KEEP_NOTHING: Final = Retention(_never, "no")
"""For kinds whose entries are written again by their owners in a moment, or by gateways."""
KEEP_CONFIG: Final = Retention(_has_newer_version, "always")
KEEP_UPSTREAMS: Final = Retention(_is_later_upstream, "no")
KEEP_ROLLOUTS: Final = Retention(_has_ended_since, "until settled")
KEEP_EVACUATIONS: Final = Retention(_never, "until settled")
