"""What backlogs of engines cost a gateway: one asks another on loopback, again and again.

    python -m bench.backlogs

Prints, for each question and answer, and for each note, the processor time of both sides
together and the bytes of the datagrams.  A question is about four engines, as in a fleet of
many; a note tells of a prompt of three parts.
"""

from __future__ import annotations

import time
from typing import Final

import curio

from ramppost import clock
from ramppost.gateway.backlogs import BacklogQuery, Backlogs
from ramppost.gateway.datagrams import Datagrams
from ramppost.gateway.metrics import Metrics
from ramppost.gateway.model import Upstream
from ramppost.policy.backlog import PendingPrompt
from ramppost.policy.placement import PrefillRates
from ramppost.policy.relays import Peers
from ramppost.schema.messages import BacklogAsk, BacklogOver, BacklogSent, BacklogView, PeerDatagram
from ramppost.wire.codec import encode

HOST: Final = "127.0.0.1"
PORTS: Final = {"asker": 27411, "keeper": 27412}
TIMES: Final = 3000
ENGINES: Final = [
    Upstream(f"i-7f3a91c{n}", f"{HOST}:9", "lm", "keeper", "v1", 64, False) for n in range(4)
]
PARTS: Final = ("5c1e07a2", "91bd3f06", "e4402b7d")
QUESTION: Final = BacklogQuery(1, "daka510000", PARTS)


async def _measure() -> None:
    datagrams = {name: Datagrams(Metrics()) for name in PORTS}
    sides = {}
    for name, other in (("asker", "keeper"), ("keeper", "asker")):
        peers = Peers(name, hall=name)
        peers.put(other, f"{HOST}:{PORTS[other]}", other)
        sides[name] = Backlogs(name, peers, PrefillRates(), datagrams[name], Metrics())
        listening = datagrams[name].listen
        await curio.spawn(listening, HOST, PORTS[name], sides[name].handle_datagram, daemon=True)
    await curio.sleep(0.05)
    began = time.process_time()
    for _ in range(TIMES):
        await sides["asker"].ask(ENGINES, QUESTION)
    _print("question and answer", began, _question_bytes())
    began = time.process_time()
    for number in range(TIMES):
        reading = PendingPrompt(clock.now(), 0.4, 1, QUESTION.model, PARTS)
        sides["asker"].record_sent(ENGINES[0], f"9c41d07b-{number}", reading)
        sides["asker"].record_done(ENGINES[0], f"9c41d07b-{number}", began=True)
        await curio.sleep(0)
    _print("notes of a prompt", began, _note_bytes())


def _print(what: str, began: float, size: int) -> None:
    each_us = (time.process_time() - began) / TIMES * 1e6
    print(f"{what}: {each_us:.0f} us, {size} bytes")


def _question_bytes() -> int:
    ids = [engine.id for engine in ENGINES]
    ask = BacklogAsk(id=1000, engines=ids, level=1, model=QUESTION.model, parts=list(PARTS))
    view = BacklogView(id=1000, ahead_ms=[120] * 4, kept=[2] * 4, token_ns=79000)
    return len(encode(PeerDatagram(ask=ask))) + len(encode(PeerDatagram(view=view)))


def _note_bytes() -> int:
    key, engine = "9c41d07b-1000", ENGINES[0].id
    sent = BacklogSent(
        key=key, engine=engine, read_ms=400, level=1, model=QUESTION.model, parts=list(PARTS)
    )
    over = BacklogOver(key=key, engine=engine, began=True)
    return len(encode(PeerDatagram(sent=sent))) + len(encode(PeerDatagram(over=over)))


if __name__ == "__main__":
    curio.run(_measure)
