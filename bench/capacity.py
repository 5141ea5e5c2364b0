"""`make capacity`: the arithmetic of docs/CAPACITY.md from docs/slopes.json.

Inputs are the target of the users' letter, assumptions named as such, and the
measured slopes.  The tables between the page's markers are written anew; a test
checks that they are what this script makes of the slopes in the repository.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Final, NamedTuple

DOCS: Final = Path(__file__).parents[1] / "docs"
BEGIN: Final = "<!-- figures: written by `make capacity` -->"
END: Final = "<!-- end of figures -->"

# The target.
NODES: Final = 410
RUNNERS: Final = 600
REQUESTS_S: Final = 2300
TOKENS_S: Final = 870_000
VERSIONS: Final = 23
HALLS: Final = 6
CHANGES_DAY: Final = 840
REPLACED_DAY: Final = 350
FAILED_DAY: Final = 6
DAY_S: Final = 86_400
CPU_BUDGET: Final = 0.015
RAM_BUDGET_MB: Final = 256
BYTES_BUDGET: Final = 19_000
WRITES_BUDGET: Final = 100
READS_BUDGET: Final = 2000
IN_FORCE_S: Final = 8

# Assumed.
KEYED_SHARE: Final = 0.2
POOLS: Final = 6
SUBSET: Final = 8
WORKSPACES: Final = 200
PEER_ASK_BYTES: Final = 450
SETTLED_BYTES: Final = 350
RATINGS_S: Final = 40
RATING_BYTES: Final = 160
RETENTION_S: Final = 7200
CLAIM_SHARDS: Final = 16

# Settings and constants of the code.
POLLS_S: Final = 12
WATCH_S: Final = 25
BOXES_S: Final = 2
PEER_S: Final = 2
RATINGS_PERIOD_S: Final = 2
BILL_WINDOW_S: Final = 30
CLAIM_WINDOW_MS: Final = 10
TARGET_WINDOW_MS: Final = 250
HEADERS_BYTES: Final = 250


class Line(NamedTuple):
    """A figure of the page: budget 0 means none is given."""

    what: str
    value: float
    unit: str
    budget: float
    how: str
    mechanism: str

    @property
    def verdict(self) -> str:
        """Pass or fail against the budget."""
        if not self.budget:
            return ""
        return "pass" if self.value <= self.budget else "FAIL"


class Role(NamedTuple):
    """A role and its lines."""

    name: str
    lines: list[Line]


def load(path: Path = DOCS / "slopes.json") -> dict[str, float]:
    """Slopes by name."""
    table = json.loads(path.read_text(encoding="utf-8"))
    return {line["name"]: line["value"] for line in table["slopes"]}


def config_bytes(s: dict[str, float]) -> float:
    """Size of the configuration document at the target."""
    return s["config_base_bytes"] + s["config_entry_bytes"] * WORKSPACES


def entry_role(s: dict[str, float]) -> Role:
    """An entry: 410 of them."""
    requests, tokens = REQUESTS_S / NODES, TOKENS_S / NODES
    agents = POOLS * SUBSET
    polls = min(POLLS_S, agents)
    boxes = (RUNNERS + NODES) * s["box_bytes"]
    box_changes = 2 * (REPLACED_DAY + FAILED_DAY) / DAY_S
    config_s = config_bytes(s) * CHANGES_DAY / DAY_S
    control_cpu = s["entry_idle_cpu"] + s["upstream_cpu"] * polls
    control_cpu += requests * KEYED_SHARE * s["claim_cpu"] / 1e6
    polls_bytes = s["upstream_bytes"] * polls
    list_bytes = boxes * box_changes + 2 * HEADERS_BYTES / BOXES_S
    ratings = RATINGS_S * RATING_BYTES
    records = requests * (
        KEYED_SHARE * 2 * s["claim_record"] + s["bill_record"] + SETTLED_BYTES / 10
    )
    wire = s["entry_idle_bytes"] + polls_bytes + list_bytes + config_s + ratings + records
    claims_mb = REQUESTS_S * KEYED_SHARE * RETENTION_S * s["claim_memory"] / 1e6
    data = requests * s["entry_request_cpu"] / 1e6 + tokens * s["entry_frame_cpu"] / 1e6
    return Role(
        f"Entry ({NODES} of them, {requests:.1f} requests/s and {tokens:.0f} tokens/s each)",
        [
            Line(
                "control CPU", control_cpu, "core", CPU_BUDGET, "derived", "idle + polls + claims"
            ),
            Line("control bytes", wire, "B/s", BYTES_BUDGET, "derived", "the six lines below"),
            Line(
                "- polls of silent agents",
                polls_bytes,
                "B/s",
                0,
                "derived",
                f"load rides on replies; at most {POLLS_S} polls/s",
            ),
            Line(
                "- box list", list_bytes, "B/s", 0, "derived", "entity tag: sent only when changed"
            ),
            Line(
                "- configuration",
                config_s,
                "B/s",
                0,
                "derived",
                "one watch, whole document a change",
            ),
            Line(
                "- ratings",
                ratings,
                "B/s",
                0,
                "derived",
                f"sample of {RATINGS_S}/s over the fleet, every entry reads it",
            ),
            Line("- claims, bills, settled", records, "B/s", 0, "derived", "records as stored"),
            Line(
                "- idle: peers and watch",
                s["entry_idle_bytes"],
                "B/s",
                0,
                "measured",
                f"a peer asked every {PEER_S} s",
            ),
            Line(
                "memory, idle and working",
                s["entry_rss"],
                "MB",
                RAM_BUDGET_MB,
                "measured",
                "nothing is kept by session",
            ),
            Line(
                "memory, claims if it read all shards",
                s["entry_rss"] + claims_mb,
                "MB",
                RAM_BUDGET_MB,
                "derived",
                f"{RETENTION_S} s of claims, all held",
            ),
            Line(
                "memory, claims of its own shards",
                s["entry_rss"] + claims_mb / NODES * max(1, NODES / CLAIM_SHARDS),
                "MB",
                RAM_BUDGET_MB,
                "derived",
                "one shard a home: see change 1",
            ),
            Line("data CPU (not control)", data, "core", 0, "derived", "requests and token frames"),
        ],
    )


def agent_role(s: dict[str, float]) -> Role:
    """An agent: 600 of them."""
    requests, tokens = REQUESTS_S / RUNNERS, TOKENS_S / RUNNERS
    asked = NODES * min(POLLS_S, POOLS * SUBSET) / RUNNERS
    cpu = s["agent_idle_cpu"] + (asked - 1) * s["upstream_cpu"]
    config_s = config_bytes(s) * CHANGES_DAY / DAY_S
    wire = s["agent_idle_bytes"] + (asked - 1) * s["upstream_bytes"] + config_s
    wire += requests * SETTLED_BYTES / 10
    kept = requests * 600 * (TOKENS_S / REQUESTS_S) * 66 / 1e6
    data = requests * s["agent_request_cpu"] / 1e6 + tokens * s["agent_frame_cpu"] / 1e6
    return Role(
        f"Agent ({RUNNERS} of them, {requests:.1f} requests/s and {tokens:.0f} tokens/s each)",
        [
            Line(
                "control CPU",
                cpu,
                "core",
                CPU_BUDGET,
                "derived",
                f"asked {asked:.1f} times a second",
            ),
            Line(
                "control bytes",
                wire,
                "B/s",
                BYTES_BUDGET,
                "derived",
                "polls, configuration, settled",
            ),
            Line(
                "memory",
                s["agent_rss"] + min(64, kept),
                "MB",
                RAM_BUDGET_MB,
                "derived",
                f"answers of 600 s would be {kept:.0f} MB; `keep_mb` 64 drops the oldest",
            ),
            Line("data CPU (not control)", data, "core", 0, "derived", "requests and token frames"),
        ],
    )


def platform_role(s: dict[str, float]) -> Role:
    """What the platform's service bears."""
    everyone = NODES + RUNNERS
    keyed = REQUESTS_S * KEYED_SHARE
    one_each = keyed * 2 + REQUESTS_S
    defaults = min(keyed * 2, CLAIM_SHARDS * 1000 / CLAIM_WINDOW_MS) + NODES / 1.0
    homes = CLAIM_SHARDS * 1000 / TARGET_WINDOW_MS
    bills = NODES / BILL_WINDOW_S
    watches = everyone / WATCH_S
    reads = watches + NODES / BOXES_S + NODES / RATINGS_PERIOD_S
    calm = watches + NODES / BOXES_S + NODES / 5
    storm = everyone / HALLS * 4 / IN_FORCE_S
    burst = everyone * config_bytes(s) / 1e6
    replay = keyed * 2 * RETENTION_S * s["claim_record"] / 1e6
    return Role(
        "The platform's service",
        [
            Line(
                "writes, one for each claim, end and bill",
                one_each,
                "/s",
                WRITES_BUDGET,
                "derived",
                "ruled out",
            ),
            Line(
                "writes, with the default windows",
                defaults,
                "/s",
                WRITES_BUDGET,
                "derived",
                f"claim_window_ms {CLAIM_WINDOW_MS}, bill_window_s 1",
            ),
            Line(
                "writes, with the windows for the target",
                homes + bills,
                "/s",
                WRITES_BUDGET,
                "derived",
                f"{CLAIM_SHARDS} shard homes, claim_window_ms {TARGET_WINDOW_MS}, bill_window_s {BILL_WINDOW_S}",
            ),
            Line(
                "reads, as it runs today",
                reads,
                "/s",
                READS_BUDGET,
                "derived",
                "watches, box list, ratings",
            ),
            Line(
                "reads, ratings every 5 s (change 3)",
                calm,
                "/s",
                READS_BUDGET,
                "derived",
                "watches, box list, ratings",
            ),
            Line(
                "reads, a hall comes back",
                calm + storm,
                "/s",
                READS_BUDGET,
                "derived",
                "4 reads a box within 8 s",
            ),
            Line(
                "bytes of one change to all",
                burst,
                "MB",
                0,
                "derived",
                f"within {IN_FORCE_S} s: {burst / IN_FORCE_S:.1f} MB/s",
            ),
            Line(
                "claims held for two hours",
                replay,
                "MB",
                0,
                "derived",
                "read whole by whoever starts: see change 1",
            ),
        ],
    )


def link_role(s: dict[str, float]) -> Role:
    """Links between halls and regions, and the operators' client."""
    cross = NODES * PEER_ASK_BYTES / PEER_S
    return Role(
        "Links between halls and regions, and the operators' client",
        [
            Line(
                "questions to peers, whole fleet",
                cross,
                "B/s",
                0,
                "assumed",
                "one random peer each; carries revisions over a parted link",
            ),
            Line(
                "configuration over a parted link",
                config_bytes(s),
                "B a change",
                0,
                "derived",
                "peer or message shows the revision, then one fetch",
            ),
            Line(
                "status, one operator's question",
                float(NODES + RUNNERS),
                "calls",
                0,
                "derived",
                "one entry asks all; for people only",
            ),
        ],
    )


def roles(s: dict[str, float]) -> list[Role]:
    """All roles."""
    return [entry_role(s), agent_role(s), platform_role(s), link_role(s)]


def figures(s: dict[str, float]) -> str:
    """The tables of the page."""
    parts = []
    for role in roles(s):
        parts.append(f"### {role.name}\n")
        parts.append("| figure | value | unit | budget | | how | carried by |")
        parts.append("|---|---|---|---|---|---|---|")
        for line in role.lines:
            budget = f"{line.budget:g}" if line.budget else ""
            cells = [line.what, f"{line.value:.4g}", line.unit, budget, line.verdict, line.how]
            parts.append(f"| {' | '.join(cells)} | {line.mechanism} |")
        parts.append("")
    return "\n".join(parts)


def page(old: str) -> str:
    """The page with its figures made anew."""
    head, _, rest = old.partition(BEGIN)
    _, _, tail = rest.partition(END)
    return f"{head}{BEGIN}\n\n{figures(load())}\n{END}{tail}"


def main() -> None:
    """Write the page."""
    path = DOCS / "CAPACITY.md"
    fresh = page(path.read_text(encoding="utf-8"))
    path.write_text(fresh, encoding="utf-8")
    print(figures(load()))


if __name__ == "__main__":
    main()
