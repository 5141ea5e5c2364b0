"""Counts of an entry: policies, classes, latencies and metrics.

They are kept in memory and lost with the box; durable data is in the ledger.
"""

from __future__ import annotations

import time
from collections import OrderedDict
from typing import Final, NamedTuple

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from hdrh.histogram import HdrHistogram

from ramppost.policy.burn import OutcomeWindow, WorkspaceClass, class_report
from ramppost.policy.compare import PolicyStats, policy_report
from ramppost.policy.permissions import ModelVersion
from ramppost.schema.config import WorkClass
from ramppost.schema.messages import ClassReport, PolicyReport

MAX_REMEMBERED_REQUESTS: Final = 20000
MAX_LATENCY_MS: Final = 3_600_000
DEFAULT_OBJECTIVE_MS: Final = 1000
DEFAULT_OBJECTIVE_SHARE: Final = 0.99


class ServedRequest(NamedTuple):
    """A served request, remembered until its rating arrives."""

    policy: str
    class_name: str
    mv: ModelVersion


class ClassStats:
    """Outcomes and first-token latencies of a class of a workspace."""

    def __init__(self) -> None:
        self.window = OutcomeWindow()
        self.first_token_ms = HdrHistogram(1, MAX_LATENCY_MS, 2)


class Stats:
    """All counts and metrics of an entry."""

    def __init__(self) -> None:
        self.policies: dict[str, PolicyStats] = {}
        self.classes: dict[tuple[str, str], ClassStats] = {}
        self.objectives: dict[str, WorkClass] = {}
        self.served_requests: OrderedDict[str, ServedRequest] = OrderedDict()
        self.registry = Registry()
        self.requests_total = Counter(
            "ramppost_requests_total", "Requests by workspace, class and outcome."
        )
        self.tokens_total = Counter(
            "ramppost_tokens_total", "Generated tokens by model and version."
        )
        self.cost_total = Counter(
            "ramppost_cost_total", "Cost by workspace, in the operators' currency."
        )
        self.retries_total = Counter("ramppost_retries_total", "Retries of requests.")
        self.first_token_seconds = Histogram(
            "ramppost_first_token_seconds", "Time to the first token by class."
        )
        self.config_revision = Gauge("ramppost_config_revision", "Configuration revision in force.")
        self.claim_groups = Gauge(
            "ramppost_claim_groups", "Groups of claims written since the start."
        )
        self.bills_unfiled = Gauge("ramppost_bills_unfiled", "Bill lines not in the ledger yet.")
        for metric in (
            self.requests_total,
            self.tokens_total,
            self.cost_total,
            self.retries_total,
            self.first_token_seconds,
            self.config_revision,
            self.claim_groups,
            self.bills_unfiled,
        ):
            self.registry.register(metric)

    def policy_stats(self, name: str) -> PolicyStats:
        """Counts of a policy, created at first use."""
        return self.policies.setdefault(name, PolicyStats())

    def remember_served(self, request_id: str, served: ServedRequest) -> None:
        """Remember a request for its rating; only the latest `MAX_REMEMBERED_REQUESTS` are kept."""
        self.served_requests[request_id] = served
        if len(self.served_requests) > MAX_REMEMBERED_REQUESTS:
            self.served_requests.popitem(last=False)

    def record_end(
        self, workspace: str, cls: WorkClass, outcome: str, first_token_s: float | None
    ) -> None:
        """Count the end of a request; `first_token_s` is the time to its first token."""
        self.requests_total.inc({"workspace": workspace, "class": cls["name"], "outcome": outcome})
        class_stats = self.classes.setdefault((workspace, cls["name"]), ClassStats())
        self.objectives[cls["name"]] = cls
        limit_ms = cls.get("objective_ms", DEFAULT_OBJECTIVE_MS)
        good = (
            outcome == "served" and first_token_s is not None and first_token_s * 1000 <= limit_ms
        )
        class_stats.window.add(good, time.time())
        if first_token_s is not None:
            class_stats.first_token_ms.record_value(
                max(1, min(MAX_LATENCY_MS, int(first_token_s * 1000)))
            )
            self.first_token_seconds.observe({"class": cls["name"]}, first_token_s)

    def policy_reports(self) -> list[PolicyReport]:
        """Report of each policy, with a 95% confidence interval of its mean rating."""
        return [policy_report(name, stats) for name, stats in self.policies.items()]

    def class_reports(self) -> list[ClassReport]:
        """Report of each class of each workspace."""
        now = time.time()
        reports = []
        for (workspace, name), stats in self.classes.items():
            objective = self.objectives[name].get("objective_share", DEFAULT_OBJECTIVE_SHARE)
            window = stats.window
            report = class_report(
                WorkspaceClass(workspace, name),
                window,
                objective,
                now,
                float(stats.first_token_ms.get_value_at_percentile(50)),
                float(stats.first_token_ms.get_value_at_percentile(99)),
            )
            reports.append(report)
        return reports
