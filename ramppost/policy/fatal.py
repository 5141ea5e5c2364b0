"""Which request ends the upstreams that run it, and which were only beside it.

Pure.  The load this answers: a request ends each upstream that begins to run it, comes again
under other ids at any gateway, and takes some twenty others with it each time.  A retry of it
ends the next upstream, so that a small fleet is gone within a second.

For each end of an upstream it is noted which requests were there and how much speaks against
each: one that had just begun is the first suspect, then one that has streamed for less than a
second, then one that still waited, then one that ran for up to three seconds.  Three ends under
a request that had just begun, and nobody else more so, make it certain: two may be chance, as
upstreams end by themselves, too, often several at once.  Four do for the strongest suspect of any
kind, by the word of all gateways that had requests there, and five for one that was there each
time, since an upstream may end before the head of its answer is out.  An end that is explained by
a certain request counts against nobody else.  One that was answered whole, or that an upstream has
run for longer, is harmless.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

FATAL_START_ENDS: Final = 3
FATAL_TOP_SUSPECT_ENDS: Final = 4
MIN_STORED_ENDS: Final = 2
"""So many are worth keeping where all gateways may be gone before the next."""
FATAL_PRESENT_ENDS: Final = 5
HARMLESS: Final = 0
RAN: Final = 1
WAITED: Final = 2
STREAMED: Final = 3
JUST_BEGUN: Final = 4
"""How much speaks against a request of an upstream that has ended."""
LONG_RUN_S: Final = 1.0
"""Beginning a request ends an upstream within a tenth of a second; so late there is hardly any
doubt that something else did."""
HARMLESS_RUN_S: Final = 3.0
"""An upstream that has run a request for so long does not end of having begun it."""
EVIDENCE_WAIT_S: Final = 0.5
"""How long the word of others is awaited before a weak suspicion counts."""
RETENTION_S: Final = 600.0
"""How long ends and whole answers are remembered."""
MAX_ENDS: Final = 256
MAX_REQUESTS_PER_END: Final = 256
"""Requests that are noted for one end: several times what an upstream has at once."""
MAX_HARMLESS: Final = 4096
MAX_FATAL: Final = 256


class ObservedRun:
    """For how long an upstream was seen to run a request, from the head of its answer on.

    Its longest silence does not count: a gateway that was frozen finds an answer broken off as it
    wakes, however early that was.

    >>> run = ObservedRun(10.0)
    >>> for at in (10.5, 11.0, 15.0): run.record_piece(at)
    >>> run.lived_s
    1.0
    """

    def __init__(self, head_at: float) -> None:
        self._head_at = head_at
        self._heard_at = head_at
        self._silence_s = 0.0

    def record_piece(self, now: float) -> None:
        """A piece of the answer has come."""
        self._silence_s = max(self._silence_s, now - self._heard_at)
        self._heard_at = now

    @property
    def lived_s(self) -> float:
        """Seconds until the last piece, without the longest silence."""
        return self._heard_at - self._head_at - self._silence_s


def evidence_level(lived_s: float | None, events: int) -> int:
    """How much speaks against a request as its upstream ended: by the seconds for which it was
    seen to run, None where the head of its answer had not come, and the events that came.

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
    """An upstream's end, and what was there by how much speaks against it."""

    def __init__(self, at: float) -> None:
        self.at = at
        self.evidence: dict[str, int] = {}
        self.culprit = ""

    def is_caused_by_other(self, fingerprint: str) -> bool:
        """Whether another request is known to have caused it."""
        return self.culprit not in ("", fingerprint)

    def is_settled(self, now: float) -> bool:
        """Whether the others that had requests there have told of them."""
        return now - self.at >= EVIDENCE_WAIT_S

    def is_top_suspect(self, fingerprint: str, now: float) -> bool:
        """Whether a request is among the strongest suspects."""
        level = self.evidence[fingerprint]
        counts = level == JUST_BEGUN or self.is_settled(now)
        return counts and level == max(self.evidence.values())


class CrashHistory:
    """Ends of upstreams, and the requests that are certain to cause them; times in seconds.

    >>> history = CrashHistory()
    >>> for number in range(3):
    ...     history.record_end(f"e{number}", "bad", JUST_BEGUN, 1.0 * number)
    ...     history.record_end(f"e{number}", f"other{number}", WAITED, 1.0 * number)
    >>> history.is_fatal("bad", 2.0), history.is_fatal("other2", 9.0)
    (True, False)
    """

    def __init__(self) -> None:
        self.fatal: OrderedDict[str, tuple[str, ...]] = OrderedDict()
        """Requests that are certain, and the upstreams that ended under each."""
        self._ends: OrderedDict[str, _UpstreamEnd] = OrderedDict()
        self._ends_by_request: dict[str, list[str]] = {}
        """Upstreams that ended under each request that something speaks against."""
        self._harmless: OrderedDict[str, float] = OrderedDict()

    def record_end(self, upstream: str, fingerprint: str, level: int, now: float) -> None:
        """An upstream's start is over, and it had this request; one that it has run without harm
        counts as answered."""
        if level <= HARMLESS:
            self.record_answer(fingerprint, now)
        if self.is_harmless(fingerprint, now):
            return
        self._forget_old(now)
        end = self._ends.setdefault(upstream, _UpstreamEnd(now))
        if fingerprint not in end.evidence:
            if len(end.evidence) >= MAX_REQUESTS_PER_END:
                return
            self._ends_by_request.setdefault(fingerprint, []).append(upstream)
        end.evidence[fingerprint] = max(level, end.evidence.get(fingerprint, HARMLESS))
        while len(self._ends) > MAX_ENDS:
            self._drop_oldest()

    def record_answer(self, fingerprint: str, now: float) -> bool:
        """A request was answered whole; whether anything spoke against it."""
        self._harmless.pop(fingerprint, None)
        self._harmless[fingerprint] = now
        while len(self._harmless) > MAX_HARMLESS:
            self._harmless.popitem(last=False)
        self.fatal.pop(fingerprint, None)
        under = self._ends_by_request.pop(fingerprint, [])
        for upstream in under:
            self._ends[upstream].evidence.pop(fingerprint, None)
        return bool(under)

    def is_harmless(self, fingerprint: str, now: float) -> bool:
        """Whether a request was answered whole here, not too long ago."""
        answered_at = self._harmless.get(fingerprint)
        return answered_at is not None and now - answered_at < RETENTION_S

    def is_suspect(self, fingerprint: str) -> bool:
        """Whether anything speaks against a request."""
        return fingerprint in self._ends_by_request

    def is_fatal(self, fingerprint: str, now: float, has_all_evidence: bool = True) -> bool:
        """Whether it is certain that upstreams end under a request.

        One that does not hear of all that others had there goes by strong suspicions only: what
        waited seems the strongest suspect where nothing else is known.
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
        """The upstreams that ended as they had just begun a request."""
        strongest = self._top_suspect_ends(fingerprint, now)
        return tuple(up for up in strongest if self._ends[up].evidence[fingerprint] == JUST_BEGUN)

    def _top_suspect_ends(self, fingerprint: str, now: float) -> tuple[str, ...]:
        """The upstreams for whose end a request is among the strongest suspects."""
        ends = self._unexplained_ends(fingerprint)
        return tuple(up for up in ends if self._ends[up].is_top_suspect(fingerprint, now))

    def _proving_ends(
        self, fingerprint: str, now: float, has_all_evidence: bool
    ) -> tuple[str, ...]:
        """The upstreams whose ends make it certain; empty where they do not."""
        self._forget_old(now)
        begun = self.start_ends(fingerprint, now)
        if len(begun) >= FATAL_START_ENDS:
            return begun
        if not has_all_evidence:
            return ()
        strongest = self._top_suspect_ends(fingerprint, now)
        if len(strongest) >= FATAL_TOP_SUSPECT_ENDS:
            return strongest
        is_settled = [
            up for up in self._unexplained_ends(fingerprint) if self._ends[up].is_settled(now)
        ]
        return tuple(is_settled) if len(is_settled) >= FATAL_PRESENT_ENDS else ()

    def _unexplained_ends(self, fingerprint: str) -> list[str]:
        """The upstreams that ended under a request and, as far as is known, of no other."""
        under = self._ends_by_request.get(fingerprint, [])
        return [up for up in under if not self._ends[up].is_caused_by_other(fingerprint)]

    def _forget_old(self, now: float) -> None:
        while self._ends and now - next(iter(self._ends.values())).at >= RETENTION_S:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        upstream, end = self._ends.popitem(last=False)
        for fingerprint in end.evidence:
            under = self._ends_by_request[fingerprint]
            under.remove(upstream)
            if not under:
                del self._ends_by_request[fingerprint]
