"""The claim log against the platform stand-in: one grant a key, whoever races."""

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

KEYS = 12
CALLERS = 4
ROUNDS = 3
WRITES_S = 30
CLAIMS_S = 150
SECONDS = 4


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


@pytest.mark.parametrize(("name", "fresh", "stands"), CASES, ids=[c[0] for c in CASES])
def test_what_a_held_claim_stands_against(name: str, fresh: Claim, stands: bool) -> None:
    shard = Shard()
    shard.update_head(ClaimSegment(seq=0, nonces=["n"], claims=[HELD], ends=[]), 1)
    assert (shard.conflicting_claim(fresh) is not None) == stands


async def started(seed: Path, port: int) -> curio.Task:
    """The platform stand-in, without rates."""
    cfg = build(MESOB).platform | {"seed": str(seed), "listen": {"host": "127.0.0.1", "port": port}}
    cfg["writes_per_s"] = cfg["reads_per_s"] = 100000
    task = await curio.spawn(platform.run, cfg)
    await curio.sleep(0.2)
    return task


def claim_log(port: int, retention_s: float = RETENTION_S) -> ClaimLog:
    """A claim log of an entry of its own, without a budget."""
    log = ClaimLog(Client(f"127.0.0.1:{port}", Pool()), 0.005, retention_s)
    log.client.take_call = lambda: True  # type: ignore[method-assign]
    return log


async def race(seed: Path, port: int) -> tuple[dict[str, list[Claim]], list[tuple[Claim, Claim]]]:
    """Callers of several entries claim the same keys; grants by key, and what losers were told."""
    task = await started(seed, port)
    logs = [claim_log(port) for _ in range(3)]
    grants: dict[str, list[Claim]] = {}
    taken: list[tuple[Claim, Claim]] = []

    async def caller(log: ClaimLog, key: str) -> None:
        mine = claim(key, secrets.token_hex(4))
        out = await log.claim(mine)
        if isinstance(out, Granted):
            grants.setdefault(key, []).append(mine)
        elif isinstance(out, Taken):
            taken.append((mine, out.held))

    for turn in range(ROUNDS):
        async with curio.TaskGroup() as group:
            for number in range(KEYS):
                for log in logs * CALLERS:
                    await group.spawn(caller, log, f"key-{turn}-{number}")
    await task.cancel()
    return grants, taken


def test_each_key_is_granted_once_and_losers_hear_of_the_winner(seed: Path) -> None:
    grants, taken = curio.run(race, seed, free_base())
    assert len(grants) == KEYS * ROUNDS
    assert all(len(found) == 1 for found in grants.values())
    won = {found[0]["nonce"] for found in grants.values()}
    assert taken and all(held["nonce"] in won for _, held in taken)


@pytest.fixture
def seed(tmp_path: Path) -> Path:
    found = tmp_path / "config.json"
    found.write_text(json.dumps(build(MESOB).doc))
    return found


def keys_of_shard(shard: int, count: int) -> list[str]:
    """Callers' keys that fall into a shard."""
    names = (f"key-{n}" for n in range(count * SHARDS * 4))
    return [name for name in names if shard_of(claim_key("ws", name)) == shard][:count]


async def sleeper(seed: Path, port: int) -> list[object]:
    """One entry has read a shard and sleeps while another fills and expires segments."""
    task = await started(seed, port)
    old, busy = claim_log(port), claim_log(port, retention_s=0.0)
    first, *others, last = keys_of_shard(3, MAX_HEAD_RECORDS * 3)
    assert isinstance(await old.claim(claim(first, "first")), Granted)
    for start in range(0, len(others), 100):
        async with curio.TaskGroup() as group:
            for name in others[start : start + 100]:
                await group.spawn(busy.claim, claim(name, "other"))
    assert isinstance(await busy.claim(claim(last, "busy")), Granted)
    deleted = await busy.expire(3)
    assert deleted >= 1
    outs = [await old.claim(claim(last, "woken")), await old.claim(claim("new", "woken"))]
    await task.cancel()
    return outs


def test_an_entry_that_slept_while_segments_were_deleted_grants_no_key_twice(seed: Path) -> None:
    taken, fresh = curio.run(sleeper, seed, free_base())
    assert isinstance(taken, Taken) and taken.held["request_id"] == "busy"
    assert isinstance(fresh, Granted)


async def wrong_clock(seed: Path, port: int) -> object:
    """Claims whose writer's clock is decades behind are not old for that."""
    task = await started(seed, port)
    writer, other = claim_log(port), claim_log(port)
    names = keys_of_shard(3, MAX_HEAD_RECORDS + 10)
    for name in names:
        await writer.claim(claim(name, "first"))
    assert await writer.read_shard(3) and await writer.expire(3) == 0
    out = await other.claim(claim(names[0], "second"))
    await task.cancel()
    return out


def test_claims_of_a_writer_whose_clock_is_wrong_are_kept(seed: Path) -> None:
    assert isinstance(curio.run(wrong_clock, seed, free_base()), Taken)


async def over_the_rate(seed: Path, port: int) -> tuple[list[object], int]:
    """Many keys a second at a platform that takes few writes; outcomes, and segments' groups."""
    cfg = build(MESOB).platform | {"seed": str(seed), "listen": {"host": "127.0.0.1", "port": port}}
    cfg["writes_per_s"] = WRITES_S
    task = await curio.spawn(platform.run, cfg)
    await curio.sleep(0.2)
    log = claim_log(port)
    outs: list[object] = []

    async def caller(number: int) -> None:
        outs.append(await log.claim(claim(f"key-{number}", "first")))

    async with curio.TaskGroup() as group:
        for number in range(CLAIMS_S * SECONDS):
            await group.spawn(caller, number)
            await curio.sleep(1 / CLAIMS_S)
    await task.cancel()
    return outs, log.groups_written


def test_claims_over_the_platforms_rate_wait_for_each_other(seed: Path) -> None:
    outs, groups = curio.run(over_the_rate, seed, free_base())
    assert len(outs) == CLAIMS_S * SECONDS
    assert all(isinstance(out, Granted) for out in outs)
    assert groups < len(outs) / 2
