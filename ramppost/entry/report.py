"""Status and reports of all processes, which one entry collects for an operator."""

from __future__ import annotations

from typing import Any, Final, TypeVar

import curio

from ramppost import ids
from ramppost.entry.state import Entry
from ramppost.schema.config import Rollout
from ramppost.schema.messages import (
    AgentStatus,
    EntryStatus,
    ProcessStatus,
    Report,
    StatusMsg,
    StatusReport,
)
from ramppost.schema.settings import Box
from ramppost.wire.client import CallFailed, call
from ramppost.wire.codec import BadMessage, decode, encode

QUERY_TIMEOUT_S: Final = 2.0
STATUS_PATHS: Final = {"entry": "/x/status", "agent": "/a/status"}

T = TypeVar("T")


def own_report(entry: Entry) -> Report:
    """Report of this entry's own counts."""
    stats = entry.stats
    return Report(entry=entry.name, policies=stats.policy_reports(), classes=stats.class_reports())


async def collect_reports(entry: Entry) -> list[Report]:
    """Reports of all entries that answer."""
    own_addr = ids.address(entry.name)
    others = [b for b in entry.upstreams.boxes if b["role"] == "entry" and b["addr"] != own_addr]
    tasks = [await curio.spawn(_query, entry, b["addr"], "/x/report", Report) for b in others]
    found = [await task.join() for task in tasks]
    return [own_report(entry), *(r for r in found if r is not None)]


async def collect_status(entry: Entry) -> StatusReport:
    """Status of every process in the box list, with the revision in force there."""
    tasks = [await curio.spawn(_process_status, entry, box) for box in entry.upstreams.boxes]
    processes = [await task.join() for task in tasks]
    doc = entry.conf.doc
    rollouts = [_rollout_line(r) for r in doc["rollouts"]] if doc else []
    return StatusReport(revision=entry.conf.rev, rollouts=rollouts, processes=processes)


def _rollout_line(rollout: Rollout) -> str:
    steps, step = rollout["steps"], rollout["step"]
    progress = f"step {step + 1}/{len(steps)} ({steps[min(step, len(steps) - 1)]:.0%})"
    line = f"{rollout['model']}: {rollout['stable']} -> {rollout['trial']} {progress}"
    return f"{line} {rollout['state']} {rollout.get('note', '')}".rstrip()


async def _process_status(entry: Entry, box: Box) -> ProcessStatus:
    line = ProcessStatus(
        name=box["name"],
        role=box["role"],
        addr=box["addr"],
        hall=box["hall"],
        rev=0,
        state="no answer",
    )
    path = STATUS_PATHS[box["role"]]
    if box["role"] == "entry":
        entry_status = await _query(entry, box["addr"], path, EntryStatus)
        if entry_status is not None:
            line["rev"], line["state"] = entry_status["rev"], entry_status["state"]
    else:
        agent_status = await _query(entry, box["addr"], path, AgentStatus)
        if agent_status is not None:
            line["rev"], line["state"] = agent_status["rev"], agent_status["state"]
    return line


async def _query(entry: Entry, addr: str, path: str, kind: type[T]) -> T | None:
    body = encode(StatusMsg(entry=entry.name, rev=entry.conf.rev))
    got = await call(entry.pool, addr, "POST", path, body, QUERY_TIMEOUT_S)
    if isinstance(got, CallFailed) or got.status != 200:
        return None
    found: Any = decode(got.body, kind)
    return None if isinstance(found, BadMessage) else found
