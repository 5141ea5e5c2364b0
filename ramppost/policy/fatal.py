"""Identifies requests, and parts of prompts, that crash the upstreams that run them.

Pure.  The failure this guards against: a fatal request crashes each upstream that starts to run
it, arrives again at any gateway under other ids, and each time aborts some twenty other requests.
Retrying it crashes the next upstream, so that a small fleet is lost within a second.  The requests
may also all be different and have only a part of their prompts in common.

Requests and parts are suspects of the same evidence.  For each upstream that ends, this records the
requests it had and the level of evidence against each: a request that had just started is the prime
suspect, then one that had streamed for less than a second, then one that was still waiting, then
one that had run for up to three seconds.
Three ends under a request that had just started, with no stronger suspect, prove it fatal.  Two may
be a coincidence, as upstreams also crash for other reasons, often several at once.  For a top
suspect of any level, four ends are proof, given the evidence of all gateways that had requests
there.  For a request that was merely present each time, five are, because an upstream may crash
before it sends the head of its response.  An end that is attributed to a fatal request is no
evidence against others.  A complete answer, or a run of more than three seconds, clears the ends
before it, at upstreams of the same version.  A suspect that was answered lately is judged only when
an answer would have cleared it: the others have time to tell.

A part is judged by the requests that hold it.  Sound prompts may share all parts but the fatal one,
so an end is no evidence against a part that its upstream had just run without harm, and a part is
suspected only if at least two different requests held it.  Parts that occur only together can't be
told apart; they are fatal together, and a prompt that lacks one of them still runs
(`ramppost.policy.fatal_parts`).

    history.record_end("i-1@7", fingerprint, JUST_BEGUN, now, parts=("part:5c1e07a2",))
    for verdict in history.find_fatal_parts(now):
        refuse(verdict.parts)
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable
from typing import Final, NamedTuple

from ramppost.policy.fatal_parts import PartCandidate, PartSighting, choose_candidate
from ramppost.policy.suspects import group_key, is_part

FATAL_START_ENDS: Final = 3
FATAL_TOP_SUSPECT_ENDS: Final = 4
MIN_STORED_ENDS: Final = 2
"""Number of ends that is stored persistently, as all gateways may fail before the next end."""
FATAL_PRESENT_ENDS: Final = 5
FATAL_PART_REQUESTS: Final = 2
"""Number of different requests that must have held a part: of a single one, it may be the rest."""
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
ANSWERED_WAIT_S: Final = 1.5
"""How long to wait for further answers before an end counts against a suspect that was answered
lately: the time in which a run that survives is noticed, and its report."""
RETENTION_S: Final = 600.0
"""How long ends of upstreams and complete answers are kept."""
MAX_ENDS: Final = 256
MAX_REQUESTS_PER_END: Final = 256
"""Requests recorded for one end: several times the number that an upstream has at once."""
MAX_ANSWERED: Final = 4096
"""Answered suspects of each kind that are remembered: those that were answered last."""
MAX_PARTS_PER_END: Final = 512
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

    def __init__(self, head_at: float, on_long_run: Callable[[], None] = lambda: None) -> None:
        """`on_long_run` is called once it has run for longer than a fatal one would."""
        self._head_at = head_at
        self._on_long_run = on_long_run
        self._is_long_run = False
        self._last_piece_at = head_at
        self._longest_gap_s = 0.0

    def record_piece(self, now: float) -> None:
        """Record that a piece of the response has arrived."""
        self._longest_gap_s = max(self._longest_gap_s, now - self._last_piece_at)
        self._last_piece_at = now
        if not self._is_long_run and self.lived_s >= LONG_RUN_S:
            self._is_long_run = True
            self._on_long_run()

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


class FatalParts(NamedTuple):
    """A verdict on parts of prompts: a request that holds all of them crashes upstreams.

    `version` is that of the upstreams; empty if they differ or are not known.
    """

    key: str
    parts: tuple[str, ...]
    upstreams: tuple[str, ...]
    version: str


class _UpstreamEnd:
    """The end of an upstream, with the level of evidence against each suspect that it had."""

    def __init__(self, at: float, version: str) -> None:
        self.at = at
        self.version = version
        self.evidence: dict[str, int] = {}
        self.sightings: dict[str, PartSighting] = {}
        """The parts among the suspects."""
        self.excused: set[str] = set()
        """Parts that the upstream had run without harm."""
        self.answered: set[str] = set()
        """Suspects that were answered lately."""
        self.culprit = ""
        self._top_level: int | None = None
        """The highest level of evidence; None until it is asked for after a change."""

    def put(self, suspect: str, level: int) -> None:
        """Set the level of evidence against a suspect."""
        self.evidence[suspect] = level
        self._top_level = None

    def remove(self, suspect: str) -> None:
        """Remove a suspect."""
        del self.evidence[suspect]
        self.sightings.pop(suspect, None)
        self._top_level = None

    @property
    def top_level(self) -> int:
        """The highest level of evidence against any suspect."""
        if self._top_level is None:
            self._top_level = max(self.evidence.values())
        return self._top_level

    def is_attributed_to_other(self, suspect: str) -> bool:
        """Whether this end is attributed to another suspect, or to a verdict on the part already.

        What one request has caused is evidence against its parts, too.
        """
        sighting = self.sightings.get(suspect)
        if sighting is not None:
            return self.culprit != "" and self.culprit not in sighting.requests
        return self.culprit not in ("", suspect)

    def wait_s(self, suspect: str) -> float:
        """How long after the end it counts against a top suspect: until other gateways have had
        time to report the requests that they had there."""
        if suspect in self.answered:
            return ANSWERED_WAIT_S
        if is_part(suspect) or self.evidence[suspect] != JUST_BEGUN:
            return EVIDENCE_WAIT_S
        return 0.0

    def is_settled(self, suspect: str, now: float) -> bool:
        """Whether it counts against a suspect that was merely present."""
        return now - self.at >= max(EVIDENCE_WAIT_S, self.wait_s(suspect))

    def is_top_suspect(self, suspect: str, now: float) -> bool:
        """Whether no other suspect has a higher level of evidence against it."""
        counts = now - self.at >= self.wait_s(suspect)
        return counts and self.evidence[suspect] == self.top_level

    def is_cleared_by(self, began_at: float, version: str) -> bool:
        """Whether an answer that began then, at an upstream of this version, speaks against this
        end as evidence."""
        same = not version or not self.version or version == self.version
        return same and self.at <= began_at + LONG_RUN_S


class CrashHistory:
    """Ends of upstreams, and the suspects that were proved to cause them; times in seconds.

    >>> history = CrashHistory()
    >>> for number in range(3):
    ...     history.record_end(f"e{number}", "bad", JUST_BEGUN, 1.0 * number)
    ...     history.record_end(f"e{number}", f"other{number}", WAITED, 1.0 * number)
    >>> history.is_fatal("bad", 2.0), history.is_fatal("other2", 9.0)
    (True, False)
    """

    def __init__(self) -> None:
        self.fatal: OrderedDict[str, tuple[str, ...]] = OrderedDict()
        """Requests and groups of parts proved fatal, with the upstreams whose ends prove it."""
        self.fatal_parts: dict[str, tuple[str, ...]] = {}
        """The parts of these groups."""
        self._ends: OrderedDict[str, _UpstreamEnd] = OrderedDict()
        self._ends_by_suspect: dict[str, list[str]] = {}
        """The upstreams that ended under each suspect."""
        self._answered: dict[bool, OrderedDict[str, float]] = {
            False: OrderedDict(),
            True: OrderedDict(),
        }
        """When requests (False) and parts (True) were last answered."""

    # --- recording

    def record_end(
        self,
        upstream: str,
        fingerprint: str,
        level: int,
        now: float,
        parts: Collection[str] = (),
        answered: Iterable[str] = (),
        version: str = "",
    ) -> None:
        """Record that an upstream ended while it had a request; an empty fingerprint stands for
        requests that are not known any more.

        `parts` are the suspects among the parts of its prompt, and `answered` those of all these
        suspects that were answered lately.  What it has run without harm counts as answered.
        """
        if level <= HARMLESS:
            for suspect in (fingerprint, *parts):
                self.record_answer(suspect, now, now - HARMLESS_RUN_S, version)
        self._drop_expired(now)
        end = self._ends.setdefault(upstream, _UpstreamEnd(now, version))
        end.answered.update(answered)
        if level <= RAN:
            self.record_survived(upstream, parts)
        if level > HARMLESS and fingerprint:
            self._add_request(end, upstream, fingerprint, level, now)
        for part in parts if level > RAN else ():
            self._add_part(end, upstream, part, level, now)
            if part in end.sightings:
                end.sightings[part].record(fingerprint, parts)
        while len(self._ends) > MAX_ENDS:
            self._drop_oldest()

    def record_survived(self, upstream: str, parts: Iterable[str]) -> None:
        """Record that an upstream that has ended had run these parts without harm just before."""
        end = self._ends.get(upstream)
        if end is None:
            return
        for part in parts:
            if len(end.excused) >= MAX_PARTS_PER_END:
                return
            end.excused.add(part)
            if part in end.evidence:
                self._remove(upstream, part)

    def record_answer(
        self, suspect: str, now: float, began_at: float | None = None, version: str = ""
    ) -> bool:
        """Record that a suspect was answered by an upstream of a version, from `began_at` on; true
        if this clears it of evidence."""
        began_at = now if began_at is None else began_at
        answered = self._answered[is_part(suspect)]
        answered.pop(suspect, None)
        answered[suspect] = now
        while len(answered) > MAX_ANSWERED:
            answered.popitem(last=False)
        for key in [key for key in self.fatal if self._concerns(key, suspect)]:
            self._reconsider(key, suspect, began_at, version)
        cleared = [
            upstream
            for upstream in self._ends_by_suspect.get(suspect, [])
            if self._ends[upstream].is_cleared_by(began_at, version)
        ]
        for upstream in cleared:
            self._remove(upstream, suspect)
        return bool(cleared)

    def was_answered(self, suspect: str, now: float) -> bool:
        """Whether a suspect was recently answered completely at this gateway."""
        answered_at = self._answered[is_part(suspect)].get(suspect)
        return answered_at is not None and now - answered_at < RETENTION_S

    def is_suspect(self, suspect: str) -> bool:
        """Whether there is any evidence against a suspect."""
        return suspect in self._ends_by_suspect

    def withdraw(self, key: str) -> None:
        """Discard a verdict and its evidence, as an operator wants what it names to run again."""
        self.fatal.pop(key, None)
        for suspect in self.fatal_parts.pop(key, (key,)):
            for upstream in list(self._ends_by_suspect.get(suspect, [])):
                self._remove(upstream, suspect)

    # --- judging

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
        if not ends or self._has_rival(fingerprint, ends, now):
            return False
        self._hold_fatal(fingerprint, ends)
        return True

    def find_fatal_parts(self, now: float) -> list[FatalParts]:
        """Judge the parts by the evidence of all gateways; returns the new verdicts."""
        found: list[FatalParts] = []
        while True:
            chosen = choose_candidate(self._part_candidates(now, FATAL_START_ENDS))
            if chosen is None:
                return found
            key = group_key(chosen.group)
            self._hold_fatal(key, chosen.ends)
            self.fatal_parts[key] = tuple(sorted(chosen.group))
            found.append(self._verdict(chosen))

    def pending_parts(self, now: float) -> FatalParts | None:
        """The verdict on parts that only awaits the evidence of other gateways; None if there is
        none.  Requests that hold these parts had better wait for it."""
        return self._suspected(now + EVIDENCE_WAIT_S, FATAL_START_ENDS)

    def suspected_parts(self, now: float) -> FatalParts | None:
        """The parts against which there is so much evidence that it is worth storing."""
        return self._suspected(now, MIN_STORED_ENDS)

    def _suspected(self, now: float, min_start_ends: int) -> FatalParts | None:
        """The parts to blame first, of those that were not answered lately."""
        candidates = self._part_candidates(now, min_start_ends)
        chosen = choose_candidate([c for c in candidates if not self._was_answered_at_end(c)])
        return None if chosen is None else self._verdict(chosen)

    def start_ends(self, suspect: str, now: float) -> tuple[str, ...]:
        """The upstreams that ended when they had just started a suspect."""
        top = self._top_suspect_ends(suspect, now)
        return tuple(up for up in top if self._ends[up].evidence[suspect] == JUST_BEGUN)

    def _top_suspect_ends(self, suspect: str, now: float) -> tuple[str, ...]:
        """The upstreams for whose end a suspect is a top suspect."""
        ends = self._unattributed_ends(suspect)
        return tuple(up for up in ends if self._ends[up].is_top_suspect(suspect, now))

    def _proving_ends(
        self,
        suspect: str,
        now: float,
        has_all_evidence: bool,
        min_start_ends: int = FATAL_START_ENDS,
    ) -> tuple[str, ...]:
        """The upstreams whose ends prove a suspect fatal; empty if they are too few."""
        self._drop_expired(now)
        started = self.start_ends(suspect, now)
        if len(started) >= min_start_ends:
            return started
        if not has_all_evidence:
            return ()
        top = self._top_suspect_ends(suspect, now)
        if len(top) >= FATAL_TOP_SUSPECT_ENDS:
            return top
        settled = [
            up for up in self._unattributed_ends(suspect) if self._ends[up].is_settled(suspect, now)
        ]
        return tuple(settled) if len(settled) >= FATAL_PRESENT_ENDS else ()

    def _part_candidates(self, now: float, min_start_ends: int) -> list[PartCandidate]:
        """The parts that enough ends speak against."""
        self._drop_expired(now)
        found = []
        for part, upstreams in self._ends_by_suspect.items():
            if not is_part(part) or len(upstreams) < min_start_ends:
                continue
            ends = self._proving_ends(part, now, True, min_start_ends)
            if not ends:
                continue
            sightings = [self._ends[up].sightings[part] for up in ends]
            requests = frozenset[str]().union(*(seen.requests for seen in sightings))
            if len(requests) < min(min_start_ends, FATAL_PART_REQUESTS):
                continue
            common = frozenset.intersection(*(seen.common for seen in sightings))
            group = {p for p in common if all(p in self._ends[up].evidence for up in ends)}
            found.append(PartCandidate(part, frozenset(group | {part}), ends))
        return found

    def _has_rival(self, fingerprint: str, ends: tuple[str, ...], now: float) -> bool:
        """Whether another suspect, which is no part of the request, was there at the same ends.

        Retries of different requests may meet at each upstream that one of them crashes.
        """
        return self._has_rival_part(fingerprint, ends, now) or (
            len(ends) < FATAL_PRESENT_ENDS and self._has_rival_request(fingerprint, ends)
        )

    def _has_rival_request(self, fingerprint: str, ends: tuple[str, ...]) -> bool:
        levels = [self._ends[up].evidence for up in ends]
        rivals = set(levels[0]) - {fingerprint}
        return any(
            all(level.get(rival, HARMLESS) >= level[fingerprint] for level in levels)
            for rival in rivals
            if not is_part(rival)
        )

    def _has_rival_part(self, fingerprint: str, ends: tuple[str, ...], now: float) -> bool:
        if now - self._ends[ends[-1]].at < EVIDENCE_WAIT_S:
            # Reports of this end may still be on their way.
            ends = ends[:-1]
        sightings = [self._ends[up].sightings for up in ends]
        for part in set.intersection(*(set(known) for known in sightings)):
            requests = [known[part].requests for known in sightings]
            is_own = all(fingerprint in those for those in requests)
            others = set().union(*requests) - {fingerprint}
            if not is_own and len(others) >= FATAL_PART_REQUESTS:
                return True
        return False

    def _was_answered_at_end(self, candidate: PartCandidate) -> bool:
        return any(candidate.part in self._ends[up].answered for up in candidate.ends)

    def _verdict(self, candidate: PartCandidate) -> FatalParts:
        versions = {self._ends[up].version for up in candidate.ends}
        version = versions.pop() if len(versions) == 1 else ""
        parts = tuple(sorted(candidate.group))
        return FatalParts(group_key(parts), parts, candidate.ends, version)

    def _hold_fatal(self, key: str, ends: tuple[str, ...]) -> None:
        self.fatal[key] = ends
        while len(self.fatal) > MAX_FATAL:
            dropped, _ = self.fatal.popitem(last=False)
            self.fatal_parts.pop(dropped, None)
        for upstream in ends:
            self._ends[upstream].culprit = key

    def _concerns(self, key: str, suspect: str) -> bool:
        return key == suspect or suspect in self.fatal_parts.get(key, ())

    def _reconsider(self, key: str, suspect: str, began_at: float, version: str) -> None:
        """Withdraw a verdict, or take a part out of it, after an answer to what it names."""
        known = [self._ends[up] for up in self.fatal[key] if up in self._ends]
        if not all(end.is_cleared_by(began_at, version) for end in known):
            return
        ends = self.fatal.pop(key)
        parts = set(self.fatal_parts.pop(key, ())) - {suspect}
        if parts:
            reduced = group_key(parts)
            self.fatal[reduced] = ends
            self.fatal_parts[reduced] = tuple(sorted(parts))
            for end in known:
                end.culprit = reduced

    def _unattributed_ends(self, suspect: str) -> list[str]:
        """The upstreams that ended under a suspect and whose end is not attributed to another."""
        upstreams = self._ends_by_suspect.get(suspect, [])
        return [up for up in upstreams if not self._ends[up].is_attributed_to_other(suspect)]

    # --- storing

    def _add_request(
        self, end: _UpstreamEnd, upstream: str, fingerprint: str, level: int, now: float
    ) -> None:
        requests = len(end.evidence) - len(end.sightings)
        if fingerprint in end.evidence or requests < MAX_REQUESTS_PER_END:
            known = end.evidence.get(fingerprint, HARMLESS)
            self._add(end, upstream, fingerprint, max(level, known), now)

    def _add_part(
        self, end: _UpstreamEnd, upstream: str, part: str, level: int, now: float
    ) -> None:
        """Add a part.  Of several requests with it, the one that ran the longest decides: the
        upstream did not crash when it began that one."""
        if part in end.excused:
            return
        if part not in end.sightings:
            if len(end.sightings) >= MAX_PARTS_PER_END:
                return
            end.sightings[part] = PartSighting()
        levels = (level, end.evidence.get(part, WAITED))
        begun = [known for known in levels if known != WAITED]
        self._add(end, upstream, part, min(begun, default=WAITED), now)

    def _add(self, end: _UpstreamEnd, upstream: str, suspect: str, level: int, now: float) -> None:
        if suspect not in end.evidence:
            self._ends_by_suspect.setdefault(suspect, []).append(upstream)
        end.put(suspect, level)
        if self.was_answered(suspect, now):
            end.answered.add(suspect)

    def _remove(self, upstream: str, suspect: str) -> None:
        """Remove the evidence of an end against a suspect."""
        self._ends[upstream].remove(suspect)
        upstreams = self._ends_by_suspect[suspect]
        upstreams.remove(upstream)
        if not upstreams:
            del self._ends_by_suspect[suspect]

    def _drop_expired(self, now: float) -> None:
        while self._ends and now - next(iter(self._ends.values())).at >= RETENTION_S:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        upstream = next(iter(self._ends))
        for suspect in list(self._ends[upstream].evidence):
            self._remove(upstream, suspect)
        del self._ends[upstream]
