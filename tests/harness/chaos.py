"""Random faults, two at a time, over an example fleet under load; then the ten points.

python -m tests.harness.chaos --seed 7 --duration-s 60 --fleet mesob
"""

from __future__ import annotations

import argparse
import random
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path

from ramppost import clock
from ramppost.standin.fleet import MESOB, TOLL, FleetPlan
from tests.harness.cluster import Cluster
from tests.harness.load import BARRED, Load, Sent
from tests.harness.operator import change_and_note
from tests.harness.oracle import charged, runs, wait_bills, wait_runs_over, whole

PLANS: dict[str, FleetPlan] = {"mesob": MESOB, "toll": TOLL}
CALLERS = 10
PAUSE_S = 0.1
LEAST_SPELL_S = 0.8
MOST_SPELL_S = 3.0
IN_FORCE_S = 8.0
WITHDRAWN = "v2"


class Spell:
    """A fault that is on for a while: `begin` gives back what ends it."""

    def __init__(self, name: str, begin: Callable[[Cluster, random.Random], Callable[[], None]]):
        self.name = name
        self.begin = begin


def _running(cluster: Cluster, names: list[str]) -> list[str]:
    return [n for n in names if n in cluster.procs and n not in cluster.frozen]


def _entry(cluster: Cluster, rng: random.Random) -> str:
    return rng.choice(_running(cluster, cluster.entry_names))


def _agent(cluster: Cluster, rng: random.Random) -> str:
    return rng.choice(_running(cluster, list(cluster.fleet.agents)))


def kill_entry(cluster: Cluster, rng: random.Random) -> Callable[[], None]:
    name = _entry(cluster, rng)
    cluster.kill(name)
    return lambda: cluster.spawn(name)


def kill_agent(cluster: Cluster, rng: random.Random) -> Callable[[], None]:
    name = _agent(cluster, rng)
    cluster.kill(name)
    return lambda: cluster.spawn(name)


def freeze(pick: Callable[[Cluster, random.Random], str]):
    def begin(cluster: Cluster, rng: random.Random) -> Callable[[], None]:
        name = pick(cluster, rng)
        cluster.freeze(name)
        return lambda: cluster.thaw(name)

    return begin


def stop_planned(pick: Callable[[Cluster, random.Random], str]):
    def begin(cluster: Cluster, rng: random.Random) -> Callable[[], None]:
        name = pick(cluster, rng)
        cluster.stop_planned(name)
        return lambda: cluster.spawn(name)

    return begin


def agent_link(mode: str):
    def begin(cluster: Cluster, rng: random.Random) -> Callable[[], None]:
        names = rng.sample(list(cluster.agent_proxy), 3)
        for name in names:
            cluster.agent_proxy[name].set(mode, delay_s=0.3)
        return lambda: [cluster.agent_proxy[name].set("pass") for name in names] and None

    return begin


def cut_from_platform(cluster: Cluster, rng: random.Random) -> Callable[[], None]:
    name = rng.choice(list(cluster.platform_proxy))
    cluster.platform_proxy[name].set("cut")
    return lambda: cluster.platform_proxy[name].set("pass")


def platform(**fault):
    def begin(cluster: Cluster, rng: random.Random) -> Callable[[], None]:
        cluster.fault("platform", **fault)
        return lambda: cluster.fault("platform", mode="none")

    return begin


def engine_errors(cluster: Cluster, rng: random.Random) -> Callable[[], None]:
    name = rng.choice(list(cluster.fleet.engines))
    cluster.fault(name, mode="errors", model="large", share=0.5)
    return lambda: cluster.fault(name, mode="none")


SPELLS = [
    Spell("entry killed", kill_entry),
    Spell("agent killed", kill_agent),
    Spell("entry frozen", freeze(_entry)),
    Spell("agent frozen", freeze(_agent)),
    Spell("entry stopped", stop_planned(_entry)),
    Spell("agent stopped", stop_planned(_agent)),
    *(Spell(f"agent links {m}", agent_link(m)) for m in ("cut", "truncate", "lose_reply", "delay")),
    *(Spell(f"agent links {m}", agent_link(m)) for m in ("crossed", "duplicate", "freeze")),
    Spell("one process cut from the platform", cut_from_platform),
    Spell("platform down", platform(mode="down")),
    Spell("platform slow", platform(mode="slow", seconds=0.5)),
    Spell("platform loses replies", platform(mode="lost_reply", method="PUT", share=0.5)),
    Spell("engine errors", engine_errors),
]


class Run:
    """A random-fault run."""

    def __init__(self, cluster: Cluster, seed: int, duration_s: float) -> None:
        self.cluster = cluster
        self.seed = seed
        self.duration_s = duration_s
        self.withdrawn_at = 0.0
        self.spells: list[str] = []
        self.lock = threading.Lock()

    def go(self) -> list[Sent]:
        """Faults and load, then quiet; what was sent."""
        end = clock.now() + self.duration_s
        load = Load(self.cluster, CALLERS, self.seed, PAUSE_S)
        lanes = [threading.Thread(target=self._lane, args=(n, end)) for n in range(2)]
        for lane in lanes:
            lane.start()
        self._operate(end)
        for lane in lanes:
            lane.join()
        load.stop()
        self.cluster.heal()
        wait_runs_over(self.cluster)
        return load.sent

    def _lane(self, number: int, end: float) -> None:
        """One fault after the other; two lanes make two at a time."""
        rng = random.Random(self.seed * 10 + number)
        while clock.now() < end:
            spell = rng.choice(SPELLS)
            with self.lock:
                finish = spell.begin(self.cluster, rng)
            self.spells.append(spell.name)
            time.sleep(rng.uniform(LEAST_SPELL_S, MOST_SPELL_S))
            finish()
            time.sleep(rng.uniform(0.1, 0.6))

    def _operate(self, end: float) -> None:
        """An operator rolls a version out and withdraws it half-way."""
        time.sleep(self.duration_s * 0.1)
        wish = {"model": "large", "version": WITHDRAWN}
        steps = {"steps": [0.5, 1.0], "step_s": 600, "max_error_share": 0.9, "max_rating_drop": 0}
        change_and_note(self.cluster, end, kind="rollout", **wish, **steps)
        time.sleep(max(0.0, self.duration_s * 0.25))
        self.withdrawn_at = change_and_note(self.cluster, end + 20, kind="withdraw", **wish)


def violations(run: Run, sent: list[Sent]) -> list[str]:
    """What broke the ten points, from the logs and what callers were told."""
    cluster = run.cluster
    lines = runs(cluster)
    found = []
    by_key: dict[str, int] = {}
    at_of: dict[str, float] = {}
    for line in lines:
        if line["idempotency_key"]:
            by_key[line["idempotency_key"]] = by_key.get(line["idempotency_key"], 0) + 1
        at_of.setdefault(line["request_id"], line["at"])
        if line["workspace"] == BARRED and line["model"] == "large":
            found.append(f"1 permissions: {BARRED} ran large")
        late = run.withdrawn_at and line["at"] > run.withdrawn_at + IN_FORCE_S
        if late and line["version"] == WITHDRAWN:
            after = line["at"] - run.withdrawn_at
            found.append(f"2 withdrawn: {line['attempt']} began {after:.1f} s after")
    found += [f"7 at most once: {key} ran {n} times" for key, n in by_key.items() if n > 1]
    served = {s.last.request_id for s in sent if s.last and s.last.served and s.kind != "service"}
    bills = wait_bills(cluster, served)
    for request_id in served:
        if charged(bills, request_id) != 1:
            found.append(f"4 billed once: {request_id} has {charged(bills, request_id)} lines")
    for item in sent:
        found += _told_wrong(item, at_of, lines)
    return found + _sessions(sent)


def _told_wrong(item: Sent, at_of: dict[str, float], lines: list[dict]) -> list[str]:
    found = []
    for word, at in zip(item.told, item.told_at, strict=True):
        if word.served and item.kind != "service" and not whole(word.text, item.tokens):
            found.append(f"5 whole answer: {word.request_id} {word.text!r}")
        if word.ran == "no" and not item.key and word.request_id in at_of:
            found.append(f"6 not run: {word.request_id} told {word.code}, it ran")
        if word.ran == "no" and item.key:
            ran = [x for x in lines if x["idempotency_key"] == item.key and x["at"] < at]
            found += [f"6 not run: {item.key} told {word.code}, it ran"] if ran else []
    if item.key and item.last and item.last.ran == "no":
        ran = [x for x in lines if x["idempotency_key"] == item.key]
        found += [f"6 not run: {item.key} ended with {item.last.code}, it ran"] if ran else []
    return found


def _sessions(sent: list[Sent]) -> list[str]:
    models: dict[str, set[str]] = {}
    for item in sent:
        if item.session and item.last and item.last.served:
            models.setdefault(item.session, set()).add(item.last.model)
    return [f"3 session: {names}" for names in models.values() if len(names) > 1]


def report(run: Run, sent: list[Sent], found: list[str]) -> float:
    """Print the outcome; the share served."""
    asked = [s for s in sent if s.kind != "barred"]
    served = sum(1 for s in asked if s.last and s.last.served)
    refused = sum(1 for s in asked if s.last and not s.last.served and s.last.ran == "no")
    unknown = len(asked) - served - refused
    print(f"seed {run.seed} {run.cluster.plan.service_name} {run.duration_s:g} s")
    print(f"faults {len(run.spells)}: {', '.join(sorted(set(run.spells)))}")
    print(f"requests {len(asked)} served {served} refused {refused} unknown {unknown}")
    print(f"violations {len(found)}")
    for line in found[:20]:
        print(f"  {line}")
    for item in [s for s in asked if not (s.last and s.last.served)][:12]:
        print(f"  not served: {item.kind} {[(w.code, w.ran) for w in item.told][-4:]}")
    return served / max(1, len(asked))


def chaos(plan: FleetPlan, seed: int, duration_s: float, folder: Path) -> tuple[float, list[str]]:
    """A whole run: share served and violations."""
    cluster = Cluster(folder, plan, barred=BARRED).start()
    try:
        run = Run(cluster, seed, duration_s)
        sent = run.go()
        found = violations(run, sent)
        return report(run, sent, found), found
    finally:
        cluster.stop()


def main() -> int:
    """Run from the command line; 1 where a point was broken or too little served."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=7)
    parser.add_argument("--duration-s", type=float, default=60)
    parser.add_argument("--fleet", choices=sorted(PLANS), default="mesob")
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        share, found = chaos(PLANS[args.fleet], args.seed, args.duration_s, Path(folder))
    return 1 if found or share < 0.9 else 0


if __name__ == "__main__":
    sys.exit(main())
