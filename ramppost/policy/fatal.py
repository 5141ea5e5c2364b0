"""Identifies requests that crash the upstreams that run them.

Pure.  The failure this guards against: a fatal request crashes each upstream that starts to run
it, arrives again at any gateway under other ids, and each time aborts some twenty other requests.
Retrying it crashes the next upstream, so that a small fleet is lost within a second.

For each upstream that ends, this records the requests it had and the level of evidence against
each: a request that had just started is the prime suspect, then one that had streamed for less
than a second, then one that was still waiting, then one that had run for up to three seconds.
Three ends under a request that had just started, with no stronger suspect, prove it fatal.  Two may
be a coincidence, as upstreams also crash for other reasons, often several at once.  For a top
suspect of any level, four ends are proof, given the evidence of all gateways that had requests
there.  For a request that was merely present each time, five are, because an upstream may crash
before it sends the head of its response.  An end that is attributed to a fatal request is no
evidence against others.  A request that was answered completely, or that an upstream has run for
longer than three seconds, is harmless.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

FATAL_START_ENDS: Final = 3
FATAL_TOP_SUSPECT_ENDS: Final = 4
MIN_STORED_ENDS: Final = 2
"""Number of ends that is stored persistently, as all gateways may fail before the next end."""
FATAL_PRESENT_ENDS: Final = 5
HARMLESS: Final = 0
RAN: Final = 1
WAITED: Final = 2
STREAMED: Final = 3
JUST_BEGUN: Final = 4
"""Levels of evidence against a request whose upstream has ended."""
LONG_RUN_S: Final = 1.0
"""Starting a fatal request ends an upstream within a tenth of a second.  After this time, something
else was almost certainly the cause."""
HARMLESS_RUN_S: Final = 3.0
"""An upstream that has run a request for this long does not crash because of having started it."""
EVIDENCE_WAIT_S: Final = 0.5
"""How long to wait for the evidence of other gateways before weak evidence counts."""
RETENTION_S: Final = 600.0
"""How long ends of upstreams and complete answers are kept."""
MAX_ENDS: Final = 256
MAX_REQUESTS_PER_END: Final = 256
"""Requests recorded for one end: several times the number that an upstream has at once."""
MAX_HARMLESS: Final = 4096
MAX_FATAL: Final = 256


class ObservedRun:
    """The time for which an upstream was observed to run a request, from the response head on.

    The longest gap is excluded: a gateway process that was suspended finds the response broken off
    only when it resumes, no matter how early that happened.

    >>> run = ObservedRun(10.0)
    >>> for at in (10.5, 11.0, 15.0): run.record_piece(at)
    >>> run.lived_s
    1.0
    """

    def __init__(self, head_at: float) -> None:
        self._head_at = head_at
        self._last_piece_at = head_at
        self._longest_gap_s = 0.0

    def record_piece(self, now: float) -> None:
        """Record that a piece of the response has arrived."""
        self._longest_gap_s = max(self._longest_gap_s, now - self._last_piece_at)
        self._last_piece_at = now

    @property
    def lived_s(self) -> float:
        """Seconds until the last piece, without the longest gap."""
        return self._last_piece_at - self._head_at - self._longest_gap_s


def evidence_level(lived_s: float | None, events: int) -> int:
    """The level of evidence against a request whose upstream has ended.

    `lived_s` is the time for which it was observed to run, or None if no response head arrived, and
    `events` the number of events that arrived.

    >>> [evidence_level(*seen) for seen in ((0.0, 0), (None, 0), (7.0, 90))] == [
    ...     JUST_BEGUN, WAITED, HARMLESS
    ... ]
    True
    """
    if lived_s is None:
        return WAITED
    if lived_s >= HARMLESS_RUN_S:
        return HARMLESS
    if lived_s >= LONG_RUN_S:
        return RAN
    return STREAMED if events else JUST_BEGUN


class _UpstreamEnd:
    """The end of an upstream, with the level of evidence against each request that it had."""

    def __init__(self, at: float) -> None:
        self.at = at
        self.evidence: dict[str, int] = {}
        self.culprit = ""

    def is_attributed_to_other(self, fingerprint: str) -> bool:
        """Whether this end is attributed to another request."""
        return self.culprit not in ("", fingerprint)

    def is_settled(self, now: float) -> bool:
        """Whether other gateways have had time to report the requests that they had there."""
        return now - self.at >= EVIDENCE_WAIT_S

    def is_top_suspect(self, fingerprint: str, now: float) -> bool:
        """Whether no other request has a higher level of evidence against it."""
        level = self.evidence[fingerprint]
        counts = level == JUST_BEGUN or self.is_settled(now)
        return counts and level == max(self.evidence.values())


class CrashHistory:
    """Ends of upstreams, and the requests that were proved to cause them; times in seconds.

    >>> history = CrashHistory()
    >>> for number in range(3):
    ...     history.record_end(f"e{number}", "bad", JUST_BEGUN, 1.0 * number)
    ...     history.record_end(f"e{number}", f"other{number}", WAITED, 1.0 * number)
    >>> history.is_fatal("bad", 2.0), history.is_fatal("other2", 9.0)
    (True, False)
    """

    def __init__(self) -> None:
        self.fatal: OrderedDict[str, tuple[str, ...]] = OrderedDict()
        """Requests proved fatal, with the upstreams whose ends prove it."""
        self._ends: OrderedDict[str, _UpstreamEnd] = OrderedDict()
        self._ends_by_request: dict[str, list[str]] = {}
        """The upstreams that ended under each suspect."""
        self._harmless: OrderedDict[str, float] = OrderedDict()

    def record_end(self, upstream: str, fingerprint: str, level: int, now: float) -> None:
        """Record that an upstream ended while it had a request; a request that it has run without
        harm counts as answered."""
        if level <= HARMLESS:
            self.record_answer(fingerprint, now)
        if self.is_harmless(fingerprint, now):
            return
        self._drop_expired(now)
        end = self._ends.setdefault(upstream, _UpstreamEnd(now))
        if fingerprint not in end.evidence:
            if len(end.evidence) >= MAX_REQUESTS_PER_END:
                return
            self._ends_by_request.setdefault(fingerprint, []).append(upstream)
        end.evidence[fingerprint] = max(level, end.evidence.get(fingerprint, HARMLESS))
        while len(self._ends) > MAX_ENDS:
            self._drop_oldest()

    def record_answer(self, fingerprint: str, now: float) -> bool:
        """Record that a request was answered completely; true if it was a suspect."""
        self._harmless.pop(fingerprint, None)
        self._harmless[fingerprint] = now
        while len(self._harmless) > MAX_HARMLESS:
            self._harmless.popitem(last=False)
        self.fatal.pop(fingerprint, None)
        upstreams = self._ends_by_request.pop(fingerprint, [])
        for upstream in upstreams:
            self._ends[upstream].evidence.pop(fingerprint, None)
        return bool(upstreams)

    def is_harmless(self, fingerprint: str, now: float) -> bool:
        """Whether a request was recently answered completely at this gateway."""
        answered_at = self._harmless.get(fingerprint)
        return answered_at is not None and now - answered_at < RETENTION_S

    def is_suspect(self, fingerprint: str) -> bool:
        """Whether there is any evidence against a request."""
        return fingerprint in self._ends_by_request

    def is_fatal(self, fingerprint: str, now: float, has_all_evidence: bool = True) -> bool:
        """Whether a request is proved to crash upstreams.

        Without the evidence of all gateways, only ends under requests that had just started count:
        otherwise a waiting request looks like the top suspect if no other request is known.
        """
        if fingerprint in self.fatal:
            return True
        if not self.is_suspect(fingerprint):
            return False
        ends = self._proving_ends(fingerprint, now, has_all_evidence)
        if not ends:
            return False
        self.fatal[fingerprint] = ends
        while len(self.fatal) > MAX_FATAL:
            self.fatal.popitem(last=False)
        for upstream in ends:
            self._ends[upstream].culprit = fingerprint
        return True

    def start_ends(self, fingerprint: str, now: float) -> tuple[str, ...]:
        """The upstreams that ended when they had just started a request."""
        top = self._top_suspect_ends(fingerprint, now)
        return tuple(up for up in top if self._ends[up].evidence[fingerprint] == JUST_BEGUN)

    def _top_suspect_ends(self, fingerprint: str, now: float) -> tuple[str, ...]:
        """The upstreams for whose end a request is a top suspect."""
        ends = self._unattributed_ends(fingerprint)
        return tuple(up for up in ends if self._ends[up].is_top_suspect(fingerprint, now))

    def _proving_ends(
        self, fingerprint: str, now: float, has_all_evidence: bool
    ) -> tuple[str, ...]:
        """The upstreams whose ends prove a request fatal; empty if they are too few."""
        self._drop_expired(now)
        started = self.start_ends(fingerprint, now)
        if len(started) >= FATAL_START_ENDS:
            return started
        if not has_all_evidence:
            return ()
        top = self._top_suspect_ends(fingerprint, now)
        if len(top) >= FATAL_TOP_SUSPECT_ENDS:
            return top
        settled = [
            up for up in self._unattributed_ends(fingerprint) if self._ends[up].is_settled(now)
        ]
        return tuple(settled) if len(settled) >= FATAL_PRESENT_ENDS else ()

    def _unattributed_ends(self, fingerprint: str) -> list[str]:
        """The upstreams that ended under a request and whose end is not attributed to another."""
        upstreams = self._ends_by_request.get(fingerprint, [])
        return [up for up in upstreams if not self._ends[up].is_attributed_to_other(fingerprint)]

    def _drop_expired(self, now: float) -> None:
        while self._ends and now - next(iter(self._ends.values())).at >= RETENTION_S:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        upstream, end = self._ends.popitem(last=False)
        for fingerprint in end.evidence:
            upstreams = self._ends_by_request[fingerprint]
            upstreams.remove(upstream)
            if not upstreams:
                del self._ends_by_request[fingerprint]
