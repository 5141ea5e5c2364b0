"""The claim log against the platform stand-in: one grant per key under concurrent claims."""

from __future__ import annotations

import json
import secrets
from pathlib import Path

import curio
import pytest

from ramppost.entry.claimlog import RETENTION_S, ClaimLog, Granted, Taken
from ramppost.platform.objects import Client
from ramppost.policy.claims import MAX_HEAD_RECORDS, SHARDS, Shard, claim_key, shard_of
from ramppost.schema.messages import Claim, ClaimSegment
from ramppost.standin import platform
from ramppost.standin.fleet import MESOB, build
from ramppost.wire.client import Pool
from tests.harness.cluster import free_base

KEYS_PER_ROUND = 12
CALLERS_PER_ENTRY = 4
ROUNDS = 3
WRITES_PER_S = 30
CLAIMS_PER_S = 150
DURATION_S = 4


def claim(key: str, request_id: str, generation: int = 0, state: str = "open") -> Claim:
    return Claim(
        key=claim_key("ws", key),
        nonce=secrets.token_hex(4),
        generation=generation,
        stage=0,
        request_id=request_id,
        entry="e",
        candidates=[],
        model="m",
        version="v",
        at_s=0,
        state=state,  # type: ignore[typeddict-item]
        body="b",
    )


HELD = claim("k", "first")
CASES = [
    ("the same generation of another request", claim("k", "second"), True),
    ("a later generation of another request", claim("k", "second", 1), True),
    ("a later generation of the same request", claim("k", "first", 1), False),
    ("the end of the same claim", claim("k", "first", 0, "done"), False),
    ("the end of another request", claim("k", "second", 0, "done"), True),
    ("another key", claim("other", "second"), False),
]


@pytest.mark.parametrize(("name", "fresh", "conflicts"), CASES, ids=[c[0] for c in CASES])
def test_which_claims_conflict_with_a_held_one(name: str, fresh: Claim, conflicts: bool) -> None:
    shard = Shard()
    shard.update_head(ClaimSegment(seq=0, nonces=["n"], claims=[HELD], ends=[]), 1)
    assert (shard.conflicting_claim(fresh) is not None) == conflicts


async def start_platform(seed: Path, port: int) -> curio.Task:
    """Starts the platform stand-in without effective rate limits."""
    cfg = build(MESOB).platform | {"seed": str(seed), "listen": {"host": "127.0.0.1", "port": port}}
    cfg["writes_per_s"] = cfg["reads_per_s"] = 100000
    task = await curio.spawn(platform.run, cfg)
    await curio.sleep(0.2)
    return task


def claim_log(port: int, retention_s: float = RETENTION_S) -> ClaimLog:
    """Creates a claim log as a separate entry has it, without a call budget."""
    log = ClaimLog(Client(f"127.0.0.1:{port}", Pool()), 0.005, retention_s)
    log.client.take_call = lambda: True  # type: ignore[method-assign]
    return log


async def race_for_keys(
    seed: Path, port: int
) -> tuple[dict[str, list[Claim]], list[tuple[Claim, Claim]]]:
    """Claims the same keys from several entries; returns grants by key, and the rejected claims."""
    task = await start_platform(seed, port)
    logs = [claim_log(port) for _ in range(3)]
    grants: dict[str, list[Claim]] = {}
    rejected: list[tuple[Claim, Claim]] = []

    async def caller(log: ClaimLog, key: str) -> None:
        mine = claim(key, secrets.token_hex(4))
        outcome = await log.claim(mine)
        if isinstance(outcome, Granted):
            grants.setdefault(key, []).append(mine)
        elif isinstance(outcome, Taken):
            rejected.append((mine, outcome.held))

    for turn in range(ROUNDS):
        async with curio.TaskGroup() as group:
            for number in range(KEYS_PER_ROUND):
                for log in logs * CALLERS_PER_ENTRY:
                    await group.spawn(caller, log, f"key-{turn}-{number}")
    await task.cancel()
    return grants, rejected


def test_each_key_is_granted_once_and_rejections_name_the_winner(seed: Path) -> None:
    grants, rejected = curio.run(race_for_keys, seed, free_base())
    assert len(grants) == KEYS_PER_ROUND * ROUNDS
    assert all(len(found) == 1 for found in grants.values())
    winners = {found[0]["nonce"] for found in grants.values()}
    assert rejected and all(held["nonce"] in winners for _, held in rejected)


@pytest.fixture
def seed(tmp_path: Path) -> Path:
    found = tmp_path / "config.json"
    found.write_text(json.dumps(build(MESOB).doc))
    return found


def keys_of_shard(shard: int, count: int) -> list[str]:
    """Returns idempotency keys that map to a shard."""
    names = (f"key-{n}" for n in range(count * SHARDS * 4))
    return [name for name in names if shard_of(claim_key("ws", name)) == shard][:count]


async def claim_with_idle_entry(seed: Path, port: int) -> list[object]:
    """Has one entry read a shard and stay idle while another fills and expires segments."""
    task = await start_platform(seed, port)
    idle, writer = claim_log(port), claim_log(port, retention_s=0.0)
    first, *others, last = keys_of_shard(3, MAX_HEAD_RECORDS * 3)
    assert isinstance(await idle.claim(claim(first, "first")), Granted)
    for start in range(0, len(others), 100):
        async with curio.TaskGroup() as group:
            for name in others[start : start + 100]:
                await group.spawn(writer.claim, claim(name, "other"))
    assert isinstance(await writer.claim(claim(last, "busy")), Granted)
    deleted = await writer.expire(3)
    assert deleted >= 1
    outcomes = [await idle.claim(claim(last, "woken")), await idle.claim(claim("new", "woken"))]
    await task.cancel()
    return outcomes


def test_an_entry_idle_while_segments_were_deleted_grants_no_key_twice(seed: Path) -> None:
    rejected, fresh = curio.run(claim_with_idle_entry, seed, free_base())
    assert isinstance(rejected, Taken) and rejected.held["request_id"] == "busy"
    assert isinstance(fresh, Granted)


async def claim_with_wrong_clock(seed: Path, port: int) -> object:
    """Claims keys by a writer whose clock is decades behind, which must not expire the claims."""
    task = await start_platform(seed, port)
    writer, other = claim_log(port), claim_log(port)
    names = keys_of_shard(3, MAX_HEAD_RECORDS + 10)
    for name in names:
        await writer.claim(claim(name, "first"))
    assert await writer.read_shard(3) and await writer.expire(3) == 0
    outcome = await other.claim(claim(names[0], "second"))
    await task.cancel()
    return outcome


def test_claims_of_a_writer_whose_clock_is_wrong_are_kept(seed: Path) -> None:
    assert isinstance(curio.run(claim_with_wrong_clock, seed, free_base()), Taken)


async def claim_over_rate(seed: Path, port: int) -> tuple[list[object], int]:
    """Claims more keys per second than the platform takes writes; returns outcomes and groups."""
    cfg = build(MESOB).platform | {"seed": str(seed), "listen": {"host": "127.0.0.1", "port": port}}
    cfg["writes_per_s"] = WRITES_PER_S
    task = await curio.spawn(platform.run, cfg)
    await curio.sleep(0.2)
    log = claim_log(port)
    outcomes: list[object] = []

    async def caller(number: int) -> None:
        outcomes.append(await log.claim(claim(f"key-{number}", "first")))

    async with curio.TaskGroup() as group:
        for number in range(CLAIMS_PER_S * DURATION_S):
            await group.spawn(caller, number)
            await curio.sleep(1 / CLAIMS_PER_S)
    await task.cancel()
    return outcomes, log.groups_written


def test_claims_over_the_platforms_rate_are_grouped(seed: Path) -> None:
    outcomes, groups = curio.run(claim_over_rate, seed, free_base())
    assert len(outcomes) == CLAIMS_PER_S * DURATION_S
    assert all(isinstance(outcome, Granted) for outcome in outcomes)
    assert groups < len(outcomes) / 2
