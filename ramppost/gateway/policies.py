"""The policies in force at a gateway, read from a document in the store."""

from __future__ import annotations

from typing import Final

from loguru import logger

from ramppost.gateway.model import RoutingTable
from ramppost.gateway.retention import Retention
from ramppost.platform.store import StoredObject
from ramppost.policy.policydoc import (
    DEFAULT_POLICY,
    PlatformCatalog,
    effective_policy,
    empty_doc,
    order_of,
    to_config,
)
from ramppost.policy.position import NOTHING_KNOWN
from ramppost.schema.config import ConfigDoc, Policy, PolicyDoc
from ramppost.wire.codec import BadMessage, decode, encode

POLICY_KIND: Final = "policies"
POLICY_NAME: Final = "main"
"""The only document of this kind, which is specific to ramppost."""


def _decode(obj: StoredObject) -> PolicyDoc | BadMessage:
    doc: PolicyDoc | BadMessage = decode(encode(obj.spec), PolicyDoc)
    return doc


def _is_newer(known: StoredObject, found: StoredObject) -> bool:
    """Whether the known document is newer than one found in a later era of the store."""
    known_doc, found_doc = _decode(known), _decode(found)
    if isinstance(known_doc, BadMessage):
        return False
    return isinstance(found_doc, BadMessage) or order_of(found_doc) < order_of(known_doc)


KEEP_POLICIES: Final = Retention(_is_newer, "always")
"""What outlives the store's return from an older copy."""


class Policies:
    """The newest policy document, and the configuration derived from it and the routing table."""

    def __init__(self) -> None:
        self.doc: PolicyDoc = empty_doc([])
        self.position = NOTHING_KNOWN
        self._config: ConfigDoc | None = None
        self._known = PlatformCatalog({}, [])

    @property
    def revision(self) -> int:
        """Revision of the document; 0 before the first one."""
        return self.position.revision

    def update(self, obj: StoredObject) -> None:
        """Apply a document from the store; an older or invalid one is ignored.

        The store may hold an older one after its return from an older copy.
        """
        doc = _decode(obj)
        if isinstance(doc, BadMessage):
            logger.error("invalid policy document: {}", doc.reason, revision=obj.revision)
            return
        if obj.name != POLICY_NAME or obj.position <= self.position:
            return
        if obj.era > self.position.era and order_of(doc) < order_of(self.doc):
            return
        self.doc, self.position, self._config = doc, obj.position, None
        logger.info(
            "policies in force",
            revision=obj.revision,
            era=obj.era,
            plan=doc["plan_id"],
            by=doc["changed_by"],
            policies=[policy["name"] for policy in doc["policies"]],
        )

    def is_newer_than(self, stored: StoredObject) -> bool:
        """Whether the document in force is newer than the one that the store holds."""
        doc = _decode(stored)
        return isinstance(doc, BadMessage) or order_of(doc) < order_of(self.doc)

    def set_table(self, table: RoutingTable) -> None:
        """Use the prices and workspaces of the platform's current configuration."""
        prices: dict[str, float] = {}
        for service in table.services.values():
            if service.engine is not None:
                prices |= service.engine.prices
        names = sorted({ws.name for ws in (table.keys or {}).values()})
        self._known, self._config = PlatformCatalog(prices, names), None

    def config(self) -> ConfigDoc:
        """The full configuration, to which intents are applied."""
        if self._config is None:
            self._config = to_config(self.doc, max(1, self.revision), self._known)
        return self._config

    def policy_for(self, workspace: str, request_id: str) -> Policy:
        """The policy for a session or request of a workspace."""
        if not self.doc["workspaces"]:
            return DEFAULT_POLICY
        return effective_policy(self.config(), workspace, request_id)
