"""`make capacity`: the arithmetic of docs/CAPACITY.md from docs/slopes.json.

Inputs are the target of the users' letter, assumptions named as such, and the
measured slopes.  The tables between the page's markers are written anew; a test
checks that they are what this script makes of the slopes in the repository.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Final, NamedTuple

from ramppost.confsync import PEER_PERIOD_S, WATCH_S
from ramppost.entry.claimhome import MAX_KNOWN_CLAIMS, READ_PERIOD_S, READERS_PER_SHARD
from ramppost.entry.claimlog import RETENTION_S
from ramppost.entry.copies import SEND_PERIOD_S
from ramppost.entry.rollouts import IDLE_RATINGS_PERIOD_S, RATINGS_PERIOD_S
from ramppost.entry.upstreams import BOX_LIST_PERIOD_S, MAX_IDLE_POLLS, POLL_PERIOD_S
from ramppost.policy.claims import MAX_HEAD_RECORDS, SHARDS

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
HEADERS_BYTES: Final = 250

# Settings and constants of the code.
POLLS_S: Final = MAX_IDLE_POLLS / POLL_PERIOD_S
BOXES_S: Final = BOX_LIST_PERIOD_S
PEER_S: Final = PEER_PERIOD_S
BILL_WINDOW_S: Final = 30
CLAIM_WINDOW_MS: Final = 10
TARGET_WINDOW_MS: Final = 300

# What follows from both.
KEYED_S: Final = REQUESTS_S * KEYED_SHARE
RECORDS_S: Final = 2 * KEYED_S
SHARD_RECORDS_S: Final = RECORDS_S / SHARDS
COMMITS_S: Final = 1000 / TARGET_WINDOW_MS
CLOSED_S: Final = RECORDS_S / MAX_HEAD_RECORDS


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


def record_bytes(s: dict[str, float]) -> float:
    """Mean size of a record: a claim, or its end."""
    return (s["claim_record"] + s["end_record"]) / 2


def entry_bytes(s: dict[str, float]) -> list[Line]:
    """An entry's control bytes, a line for each cause."""
    polls = min(POLLS_S, POOLS * SUBSET)
    boxes = (RUNNERS + NODES) * s["box_bytes"] * 2 * (REPLACED_DAY + FAILED_DAY) / DAY_S
    requests = REQUESTS_S / NODES
    records = requests * KEYED_SHARE * (s["claim_record"] + s["end_record"])
    records += requests * (3 * s["bill_record"] + 2 * SETTLED_BYTES / 10)
    config = config_bytes(s) * CHANGES_DAY / DAY_S
    lines = [
        ("polls of silent agents", s["call_bytes"] * polls, f"at most {POLLS_S:g} a second"),
        ("box list", boxes + 2 * HEADERS_BYTES / BOXES_S, "entity tag: sent only when changed"),
        ("configuration", config, "one watch, whole document a change"),
        ("ratings", RATINGS_S * RATING_BYTES, f"{RATINGS_S}/s over the fleet, all read by each"),
        ("claims, bills, copies", records, "records as stored; copies go out and come in"),
    ]
    idle = Line(
        "- idle: peers and watch",
        s["entry_idle_bytes"],
        "B/s",
        0,
        "measured",
        f"every {PEER_S:g} s",
    )
    return [*(Line(f"- {n}", v, "B/s", 0, "derived", how) for n, v, how in lines), idle]


def entry_messages() -> float:
    """Control messages a second at an entry, sent and received."""
    polls = min(POLLS_S, POOLS * SUBSET)
    own = (
        polls
        + 1 / PEER_S
        + 1 / BOXES_S
        + 1 / IDLE_RATINGS_PERIOD_S
        + 1 / WATCH_S
        + 1 / BILL_WINDOW_S
    )
    asked = (1 + RUNNERS / NODES) / PEER_S
    claims = 2 * KEYED_S / NODES
    return own + asked + claims + 2 / SEND_PERIOD_S


def entry_state_mb(s: dict[str, float]) -> float:
    """What an entry keeps: configuration, box list, claims that it was told of."""
    boxes = (RUNNERS + NODES) * s["box_bytes"]
    return (config_bytes(s) + boxes + MAX_KNOWN_CLAIMS * s["claim_memory"]) / 1e6


def entry_role(s: dict[str, float]) -> Role:
    """An entry: 410 of them."""
    requests, tokens = REQUESTS_S / NODES, TOKENS_S / NODES
    control_cpu = s["entry_idle_cpu"] + s["call_cpu"] / 1e6 * min(POLLS_S, POOLS * SUBSET)
    control_cpu += requests * KEYED_SHARE * s["claim_cpu"] / 1e6
    control_cpu += (s["call_cpu"] + s["serve_cpu"]) / 1e6 / SEND_PERIOD_S
    data = requests * s["entry_request_cpu"] / 1e6 + tokens * s["entry_frame_cpu"] / 1e6
    parts = entry_bytes(s)
    wire = sum(line.value for line in parts)
    return Role(
        f"Entry ({NODES} of them, {requests:.1f} requests/s and {tokens:.0f} tokens/s each)",
        [
            Line(
                "control CPU",
                control_cpu,
                "core",
                CPU_BUDGET,
                "derived",
                "idle + polls + claims + copies of bills, out and in",
            ),
            Line("control bytes", wire, "B/s", BYTES_BUDGET, "derived", "the six lines below"),
            *parts,
            Line(
                "control messages",
                entry_messages(),
                "/s",
                0,
                "derived",
                "polls, peers, platform, claims, copies",
            ),
            Line(
                "state",
                entry_state_mb(s),
                "MB",
                0,
                "derived",
                f"configuration, box list, at most {MAX_KNOWN_CLAIMS} claims told of; none by session",
            ),
            Line(
                "memory",
                s["entry_rss"] + entry_state_mb(s),
                "MB",
                RAM_BUDGET_MB,
                "derived",
                "as measured, and the state",
            ),
            Line("data CPU (not control)", data, "core", 0, "derived", "requests and token frames"),
        ],
    )


def home_role(s: dict[str, float]) -> Role:
    """What the home or deputy of a claim shard bears besides."""
    entry = entry_role(s).lines
    head = MAX_HEAD_RECORDS / 2 * record_bytes(s)
    group = SHARD_RECORDS_S / COMMITS_S * record_bytes(s)
    writes = COMMITS_S * (head + group)
    calls = SHARD_RECORDS_S * (record_bytes(s) + HEADERS_BYTES)
    tail = SHARD_RECORDS_S * record_bytes(s) + head / READ_PERIOD_S
    held = KEYED_S * RETENTION_S / SHARDS * s["claim_memory"] / 1e6
    start = SHARD_RECORDS_S * RETENTION_S * record_bytes(s) / 1e6
    cpu = (SHARD_RECORDS_S * s["serve_cpu"] + COMMITS_S * s["call_cpu"]) / 1e6
    return Role(
        f"Home and deputy of a claim shard ({READERS_PER_SHARD * SHARDS} of the entries, besides the above)",
        [
            Line(
                "control CPU, home",
                entry[0].value + cpu,
                "core",
                CPU_BUDGET,
                "derived",
                f"{SHARD_RECORDS_S:.0f} calls/s at the cost of a poll: see change 1",
            ),
            Line(
                "control bytes, home",
                entry[1].value + calls + writes,
                "B/s",
                BYTES_BUDGET,
                "derived",
                "calls, and the head written again with each group: see change 1",
            ),
            Line(
                "control bytes, deputy",
                entry[1].value + tail,
                "B/s",
                BYTES_BUDGET,
                "derived",
                "reads what the home writes",
            ),
            Line(
                "memory",
                s["entry_rss"] + held,
                "MB",
                RAM_BUDGET_MB,
                "derived",
                f"{RETENTION_S} s of claims of one shard",
            ),
            Line(
                "read at the start of a home",
                start,
                "MB",
                0,
                "derived",
                "until then the former deputy, which has it read, takes the claims",
            ),
        ],
    )


def agent_role(s: dict[str, float]) -> Role:
    """An agent: 600 of them."""
    requests, tokens = REQUESTS_S / RUNNERS, TOKENS_S / RUNNERS
    asked = NODES * min(POLLS_S, POOLS * SUBSET) / RUNNERS
    cpu = s["agent_idle_cpu"] + asked * s["serve_cpu"] / 1e6
    config_s = config_bytes(s) * CHANGES_DAY / DAY_S
    wire = s["agent_idle_bytes"] + asked * s["call_bytes"] + config_s
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
                "control messages",
                asked + 1 / PEER_S + 1 / WATCH_S + min(requests, NODES / BILL_WINDOW_S),
                "/s",
                0,
                "derived",
                "polls, peers, watch, settled",
            ),
            Line(
                "state",
                min(64, kept),
                "MB",
                0,
                "derived",
                "answers kept for reading on, attempts and tombstones",
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


def platform_writes(s: dict[str, float]) -> list[Line]:
    """Writes that the platform bears, by way."""
    bills = NODES / BILL_WINDOW_S
    one_each = RECORDS_S + REQUESTS_S
    defaults = min(RECORDS_S, SHARDS * 1000 / CLAIM_WINDOW_MS) + 2 * CLOSED_S + NODES / 1.0
    target = SHARDS * COMMITS_S + 2 * CLOSED_S + bills
    return [
        Line(name, value, "/s", WRITES_BUDGET, "derived", how)
        for name, value, how in (
            ("writes, one for each claim, end and bill", one_each, "ruled out"),
            (
                "writes, with the default windows",
                defaults,
                f"claim_window_ms {CLAIM_WINDOW_MS}, bill_window_s 1",
            ),
            (
                "writes, with the windows for the target",
                target,
                f"{SHARDS} homes, claim_window_ms {TARGET_WINDOW_MS}, bill_window_s "
                f"{BILL_WINDOW_S}; closing and deleting {2 * CLOSED_S:.0f}/s of it",
            ),
        )
    ]


def platform_role(s: dict[str, float]) -> Role:
    """What the platform's service bears."""
    everyone = NODES + RUNNERS
    steady = everyone / WATCH_S + NODES / BOXES_S + CLOSED_S + SHARDS / READ_PERIOD_S
    calm = steady + NODES / IDLE_RATINGS_PERIOD_S
    rolling = steady + NODES / RATINGS_PERIOD_S
    storm = everyone / HALLS * 4 / IN_FORCE_S
    burst = everyone * config_bytes(s) / 1e6
    kept = RECORDS_S * RETENTION_S * record_bytes(s) / 1e6
    lines = [
        (
            "reads, no roll-out under way",
            calm,
            READS_BUDGET,
            "watches, box list, ratings, deputies",
        ),
        ("reads, during a roll-out", rolling, READS_BUDGET, f"ratings every {RATINGS_PERIOD_S} s"),
        ("reads, a hall comes back then", rolling + storm, READS_BUDGET, "4 reads a box in 8 s"),
    ]
    return Role(
        "The platform's service",
        [
            *platform_writes(s),
            *(Line(n, value, "/s", budget, "derived", how) for n, value, budget, how in lines),
            Line(
                "bytes of one change to all",
                burst,
                "MB",
                0,
                "derived",
                f"within {IN_FORCE_S} s: {burst / IN_FORCE_S:.1f} MB/s",
            ),
            Line("state: claims of two hours", kept, "MB", 0, "derived", "see change 2"),
            Line(
                "state: bill lines of a day",
                REQUESTS_S * DAY_S * s["bill_record"] / 1e6,
                "MB",
                0,
                "derived",
                "never deleted: see change 7",
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
            Line(
                "status, CPU at the entry asked",
                (NODES + RUNNERS) * s["call_cpu"] / 1e6,
                "s",
                0,
                "derived",
                "the client itself makes one call and keeps nothing",
            ),
        ],
    )


def roles(s: dict[str, float]) -> list[Role]:
    """All roles."""
    return [entry_role(s), home_role(s), agent_role(s), platform_role(s), link_role(s)]


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
