"""The first document of policies of a deployment on the users' platform."""

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

FAILED: Final = 1


class PolicyInitCommand(Command):
    """`ramppost policy init`."""

    name = "policy init"
    description = "Write the first document of policies to the store, with one operator."
    options: ClassVar = [
        option("store", "s", "The store's address, ip:port.", flag=False),
        option("operator", "o", "Name of the operator.", flag=False, default="operator"),
        option("token", "t", "The operator's token; only its hash is kept.", flag=False),
    ]

    def handle(self) -> int:
        """Write it, unless there is one."""
        store, token = self.option("store"), self.option("token")
        if not store or not token:
            self.line_error("--store and --token are needed")
            return FAILED
        who = Operator(
            name=self.option("operator"),
            token_hash=token_hash(token),
            roles=["read", "plan", "confirm"],
        )
        client = StoreClient(store, Pool())
        got = curio.run(create, client, POLICY_KIND, POLICY_NAME, empty_doc([who]))
        if isinstance(got, StoredObject):
            self.line(f"revision {got.revision} written")
            return 0
        there = "there is one already; change it by plan and confirm"
        self.line_error(there if isinstance(got, Conflict) else f"no answer: {got.reason}")
        return FAILED
