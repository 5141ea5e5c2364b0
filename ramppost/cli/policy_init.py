"""The command that creates the initial policy document of a deployment on the users' platform."""

from __future__ import annotations

from typing import ClassVar, Final

import curio
from cleo.commands.command import Command
from cleo.helpers import option

from ramppost.gateway.policies import POLICY_KIND, POLICY_NAME
from ramppost.platform.store import Conflict, StoreClient, StoredObject, create
from ramppost.policy.permissions import token_hash
from ramppost.policy.policydoc import empty_doc
from ramppost.schema.config import Operator
from ramppost.wire.client import Pool

EXIT_FAILURE: Final = 1


class PolicyInitCommand(Command):
    """`ramppost policy init`."""

    name = "policy init"
    description = "Create the initial policy document in the store, with one operator."
    options: ClassVar = [
        option("store", "s", "Address of the store, ip:port.", flag=False),
        option("operator", "o", "Name of the operator.", flag=False, default="operator"),
        option("token", "t", "Token of the operator; only its hash is stored.", flag=False),
    ]

    def handle(self) -> int:
        """Creates the document; fails if the store already holds one."""
        store_addr, token = self.option("store"), self.option("token")
        if not store_addr or not token:
            self.line_error("options --store and --token are required")
            return EXIT_FAILURE
        operator = Operator(
            name=self.option("operator"),
            token_hash=token_hash(token),
            roles=["read", "plan", "confirm"],
        )
        client = StoreClient(store_addr, Pool())
        result = curio.run(create, client, POLICY_KIND, POLICY_NAME, empty_doc([operator]))
        if isinstance(result, StoredObject):
            self.line(f"revision {result.revision} written")
            return 0
        conflict_message = (
            "policy document not created: there is one already; "
            "change it with `ramppost plan` and `ramppost confirm`"
        )
        self.line_error(
            conflict_message
            if isinstance(result, Conflict)
            else f"store is unavailable: {result.reason}"
        )
        return EXIT_FAILURE
