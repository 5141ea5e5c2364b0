"""The claim log against the platform stand-in: one grant a key, whoever races."""

from __future__ import annotations

import json
import secrets
from pathlib import Path

import curio
import pytest

from ramppost.entry.claimlog import ClaimLog, Granted, Taken
from ramppost.platform.objects import Client
from ramppost.policy.claims import Shard, claim_key
from ramppost.schema.messages import Claim, ClaimSegment
from ramppost.standin import platform
from ramppost.standin.fleet import MESOB, build
from ramppost.wire.client import Pool
from tests.harness.cluster import free_base

KEYS = 12
CALLERS = 4
ROUNDS = 3


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
    shard.apply(0, ClaimSegment(nonce="n", claims=[HELD]))
    assert (shard.holder(fresh) is not None) == stands


async def race(seed: Path, port: int) -> tuple[dict[str, list[Claim]], list[tuple[Claim, Claim]]]:
    """Callers of several entries claim the same keys; grants by key, and what losers were told."""
    cfg = build(MESOB).platform | {"seed": str(seed), "listen": {"host": "127.0.0.1", "port": port}}
    cfg["writes_per_s"] = cfg["reads_per_s"] = 100000
    task = await curio.spawn(platform.run, cfg)
    await curio.sleep(0.2)
    logs = [ClaimLog(Client(f"127.0.0.1:{port}", Pool()), 0.005) for _ in range(3)]
    for log in logs:
        log.client.allowed = lambda: True  # type: ignore[method-assign]
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


def test_each_key_is_granted_once_and_losers_hear_of_the_winner(tmp_path: Path) -> None:
    seed = tmp_path / "config.json"
    seed.write_text(json.dumps(build(MESOB).doc))
    grants, taken = curio.run(race, seed, free_base())
    assert len(grants) == KEYS * ROUNDS
    assert all(len(found) == 1 for found in grants.values())
    won = {found[0]["nonce"] for found in grants.values()}
    assert taken and all(held["nonce"] in won for _, held in taken)
