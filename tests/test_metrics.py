"""Metrics of a gateway as a scraper reads them."""

from __future__ import annotations

from ramppost.gateway.metrics import Metrics


def test_metrics_can_be_scraped_repeatedly() -> None:
    """Guards against a gateway that answers only its first scrape.

    Each scrape creates its collectors anew, and the library also registered them process-wide,
    where the names of the first scrape remained: every later scrape failed with
    `A collector for ramppost_attempts_total is already registered`.  A scraper with an interval of
    five seconds got one set of metrics for a whole incident.
    """
    metrics = Metrics()
    metrics.count("ramppost_attempts_total", outcome="running")
    metrics.observe("ramppost_request_seconds", 0.2, route="r")
    metrics.gauges["ramppost_config_version"] = 1
    first = metrics.text()
    metrics.count("ramppost_attempts_total", outcome="running")
    second = metrics.text()
    assert b'ramppost_attempts_total{outcome="running"} 1' in first
    assert b'ramppost_attempts_total{outcome="running"} 2' in second
