"""Ranks of all workspaces, for comparing what they use."""

from __future__ import annotations

from collections.abc import Mapping

from ramppost.gateway.model import RoutingTable


class WorkspaceRanks:
    """The rank of each workspace, computed once for each configuration."""

    def __init__(self) -> None:
        self._table: RoutingTable | None = None
        self._ranks: dict[str, int] = {}

    def of(self, table: RoutingTable | None) -> Mapping[str, int]:
        """The ranks by name of workspace."""
        if table is not self._table:
            keys = table.keys if table is not None else None
            self._table = table
            self._ranks = {owner.name: owner.priority for owner in (keys or {}).values()}
        return self._ranks
