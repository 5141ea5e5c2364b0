"""Mixed load over a fleet, by callers who follow Retry-After, and what each was told."""

from __future__ import annotations

import random
import threading
import time
import uuid
from typing import NamedTuple

import httpx

from tests.harness.cluster import Cluster
from tests.harness.oracle import Told, told, told_stream

TRIES = 8
MAX_PAUSE_S = 1.0
REQUEST_TIMEOUT_S = 15.0
BARRED = "cooks"
CLASSES = ("", "", "page_lookup", "adaptation")


class Sent(NamedTuple):
    """A request and everything its caller was told of it, in order."""

    kind: str
    key: str
    workspace: str
    tokens: int
    session: str
    told: list[Told]
    told_at: list[float]

    @property
    def last(self) -> Told | None:
        """The last word, if there was any."""
        return self.told[-1] if self.told else None


KINDS = ("plain", "keyed", "streamed", "session", "service", "barred")
WEIGHTS = (4, 4, 3, 2, 1, 1)


class Load:
    """Callers in threads until stopped."""

    def __init__(self, cluster: Cluster, callers: int, seed: int, pause_s: float) -> None:
        self.cluster = cluster
        self.pause_s = pause_s
        self.on = True
        self.sent: list[Sent] = []
        self.workspaces = cluster.plan.workspaces
        self.threads = [
            threading.Thread(target=self._call, args=(random.Random(seed * 1000 + i),))
            for i in range(callers)
        ]
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        """Let each caller finish its request."""
        self.on = False
        for thread in self.threads:
            thread.join()

    def _call(self, rng: random.Random) -> None:
        session = ""
        with httpx.Client(timeout=REQUEST_TIMEOUT_S) as http:
            while self.on:
                kind = rng.choices(KINDS, WEIGHTS)[0]
                session = self._until_final(http, kind, session, rng)
                time.sleep(self.pause_s * rng.uniform(0.5, 1.5))

    def _until_final(self, http: httpx.Client, kind: str, session: str, rng: random.Random) -> str:
        workspace = BARRED if kind == "barred" else self.workspaces[0]
        key = f"key-{uuid.UUID(int=rng.getrandbits(128))}" if kind == "keyed" else ""
        tokens = rng.randint(3, 25)
        sent = Sent(kind, key, workspace, tokens, session if kind == "session" else "", [], [])
        self.sent.append(sent)
        token = session
        for _ in range(TRIES):
            entry = rng.choice(self.cluster.entry_names)
            try:
                got = self._ask(http, entry, sent, session)
            except httpx.TransportError:
                time.sleep(self.pause_s)
                continue
            word = told_stream(key, got) if kind == "streamed" else told(key, got)
            sent.told.append(word)
            sent.told_at.append(time.time())
            token = got.headers.get("ramppost-session", token) if kind == "session" else token
            if word.served or kind == "barred":
                break
            if word.code in ("session_ended", "bad_session"):
                return ""
            if word.ran != "no" and kind != "keyed":
                break
            time.sleep(min(MAX_PAUSE_S, float(got.headers.get("retry-after", self.pause_s))))
        return token

    def _ask(self, http: httpx.Client, entry: str, sent: Sent, session: str) -> httpx.Response:
        head = {"authorization": f"Bearer {sent.workspace}-dev"}
        if sent.kind == "service":
            url = f"{self.cluster.url(entry)}/services/{self.cluster.plan.service_name}/look"
            return http.get(url, headers=head)
        if sent.key:
            head["idempotency-key"] = sent.key
        if sent.kind == "session" and session:
            head["ramppost-session"] = session
        body = {
            "model": "large",
            "max_tokens": sent.tokens,
            "stream": sent.kind == "streamed",
            "messages": [{"role": "user", "content": f"question {sent.tokens}"}],
        }
        return http.post(f"{self.cluster.url(entry)}/v1/chat/completions", json=body, headers=head)
