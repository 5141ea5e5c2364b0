"""Figures of a gateway as a scraper reads them."""

from __future__ import annotations

from ramppost.gateway.metrics import Metrics


def test_figures_are_told_again_and_again() -> None:
    """A gateway told its figures once.

    Each scrape makes its collectors anew, and the library enters them in a register of the whole
    process, too, where the names of the first scrape still stood: every later scrape ended with
    `A collector for ramppost_attempts_total is already registered` and no answer.  A scraper that
    asked each five seconds had one set of figures of the whole incident.
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
