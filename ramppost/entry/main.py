"""`ramppost entry`: runs the listeners and the background tasks, and the planned stop."""

from __future__ import annotations

from typing import Final

import curio
from aioprometheus.renderer import render
from loguru import logger

from ramppost import clock
from ramppost.agent.handler import send_config
from ramppost.confsync import CONFIG_PATH, poll_peers, watch_platform
from ramppost.entry.callers import callers_handler, encode_bad_input
from ramppost.entry.claimhome import CLAIM_PATH, PEEK_PATH, reply_from_outcome
from ramppost.entry.copies import COPIES_PATH, SETTLED_PATH
from ramppost.entry.report import own_report
from ramppost.entry.rollouts import exchange_ratings, run_rollouts
from ramppost.entry.state import Entry
from ramppost.policy.claims import is_claim_key
from ramppost.schema.messages import Claim, CopiesMsg, EntryStatus, PeekMsg, SettledMsg, StatusMsg
from ramppost.schema.settings import EntrySettings, InputLimits
from ramppost.usage import USAGE_PATH, usage
from ramppost.wire.codec import decode, encode
from ramppost.wire.intake import Intake, intake_limits
from ramppost.wire.messages import handle_message
from ramppost.wire.server import Handler, Limits, ReloadingTlsContext, Reply, Request, listen, serve
from ramppost.wire.signals import Signals

STOP_POLL_S: Final = 0.05


def internal_handler(entry: Entry) -> Handler:
    """Handler of the internal listener, for peers, health checks and metrics."""

    async def handle(req: Request, reply: Reply) -> None:
        if req.path == CONFIG_PATH:
            await send_config(entry.conf.encoded, entry.conf.rev, req, reply)
        elif req.path == "/x/status":
            await _status(entry, req, reply)
        elif req.path == "/x/report":
            await reply.send(200, encode(own_report(entry)))
        elif req.path == CLAIM_PATH:
            await handle_message(req, reply, Claim, lambda msg: _answer_claim(entry, msg, reply))
        elif req.path == PEEK_PATH:
            await handle_message(req, reply, PeekMsg, lambda msg: _answer_claim(entry, msg, reply))
        elif req.path == COPIES_PATH:
            await handle_message(
                req, reply, CopiesMsg, lambda msg: _store_copies(entry, msg, reply)
            )
        elif req.path == SETTLED_PATH:
            await handle_message(
                req, reply, SettledMsg, lambda msg: _settle_copies(entry, msg, reply)
            )
        elif req.path == USAGE_PATH:
            await reply.send(
                200, encode(usage(entry.client, (entry.caller_meter, entry.internal_meter)))
            )
        elif req.path == "/x/upstreams":
            await reply.send(200, encode(entry.upstreams.report_lines()))
        elif req.path == "/metrics":
            entry.stats.claim_groups.set({}, entry.claim_log.groups_written)
            entry.stats.bills_unfiled.set({}, len(entry.filer.queue))
            text, headers = render(entry.stats.registry, [])
            await reply.send(200, text, headers["Content-Type"])
        elif req.path in ("/healthz", "/readyz"):
            await reply.send(200 if entry.ready or req.path == "/healthz" else 503, b"{}")
        else:
            await reply.send(404, b'{"error":"no such path"}')

    return handle


async def _answer_claim(entry: Entry, msg: Claim | PeekMsg, reply: Reply) -> None:
    """Take or look up a claim, as home or deputy of its shard."""
    if is_claim_key(msg["key"]):
        await reply.send(200, encode(reply_from_outcome(await entry.claim_homes.ask_own_log(msg))))
    else:
        await reply.send(400, b'{"error":"key: 32 hexadecimal digits wanted"}')


async def _store_copies(entry: Entry, msg: CopiesMsg, reply: Reply) -> None:
    """Store copies of another entry's bill lines until they are settled."""
    entry.copies.add_received(msg)
    await reply.send(200, b"{}")


async def _settle_copies(entry: Entry, msg: SettledMsg, reply: Reply) -> None:
    """Drop the copies of lines that are in the ledger."""
    entry.copies.drop_settled(msg["attempts"])
    await reply.send(200, b"{}")


async def _status(entry: Entry, req: Request, reply: Reply) -> None:
    decode(req.body, StatusMsg)
    status = EntryStatus(
        entry=entry.name,
        name=entry.cfg["name"],
        hall=entry.cfg["hall"],
        rev=entry.conf.rev,
        state="leaving" if entry.leaving else "live",
    )
    await reply.send(200, encode(status))


def _limits(cfg: InputLimits) -> Limits:
    return Limits(cfg["header_bytes"], cfg["body_bytes"], cfg["read_timeout_s"], cfg["connections"])


def _intake(cfg: InputLimits) -> Intake:
    """What clients may make the process hold, on both of its ports."""
    connections = cfg["connections"]
    return Intake(intake_limits(cfg.get("memory_mb"), cfg.get("open_files"), connections))


async def run(cfg: EntrySettings, signals: Signals | None = None) -> None:
    """Run until a signal requests a planned stop, or until cancelled."""
    entry = Entry(cfg)
    public, internal = cfg["listen"], cfg["internal"]
    tls_cfg = cfg.get("tls")
    tls = ReloadingTlsContext(tls_cfg["cert"], tls_cfg["key"]) if tls_cfg else None
    if tls is not None:
        tls.context()
    logger.info("entry {} of {} on {}:{}", entry.name, cfg["name"], public["host"], public["port"])
    limits = _limits(cfg["limits"])
    intake = _intake(cfg["limits"])
    internal_sock = listen(internal["host"], internal["port"])
    public_sock = listen(public["host"], public["port"])
    tasks = [
        await curio.spawn(watch_platform, entry.conf, entry.client, daemon=True),
        await curio.spawn(poll_peers, entry.conf, entry.pool, lambda: _peers(entry), daemon=True),
        await curio.spawn(entry.upstreams.follow_box_list, cfg["platform"], daemon=True),
        await curio.spawn(entry.upstreams.poll_agents, entry.revision_ref, daemon=True),
        await curio.spawn(entry.filer.run, daemon=True),
        await curio.spawn(entry.copies.run, entry.filer, daemon=True),
        await curio.spawn(run_rollouts, entry, daemon=True),
        await curio.spawn(exchange_ratings, entry, daemon=True),
        await curio.spawn(entry.claim_homes.follow_logs, daemon=True),
        await curio.spawn(
            serve,
            internal_sock,
            internal_handler(entry),
            Limits(),
            None,
            None,
            entry.internal_meter,
            intake,
            daemon=True,
        ),
        await curio.spawn(
            serve,
            public_sock,
            callers_handler(entry),
            limits,
            encode_bad_input,
            tls,
            entry.caller_meter,
            intake,
            daemon=True,
        ),
    ]
    try:
        if signals is None:
            await curio.sleep(float("inf"))
            return
        await signals.wait()
        await _stop(entry)
    finally:
        for task in tasks:
            await task.cancel(blocking=False)


def _peers(entry: Entry) -> list[str]:
    """Addresses to ask for a newer configuration: the peers in the settings, and live agents."""
    return [*entry.cfg["peers"], *(up.addr for up in entry.upstreams.by_addr.values() if up.alive)]


async def _stop(entry: Entry) -> None:
    """Planned stop: refuse new requests, finish running ones, file bills and write claim ends."""
    logger.info("leaving: {} requests in progress", entry.running_requests)
    entry.leaving = True
    deadline = clock.now() + entry.cfg.get("drain_s", 600.0)
    await curio.sleep(entry.cfg.get("linger_s", 3.0))
    entry.copies.file_unsettled(entry.filer, 0.0)
    while clock.now() < deadline:
        if not entry.running_requests and entry.filer.empty and entry.claim_homes.idle:
            logger.info("left")
            return
        await curio.sleep(STOP_POLL_S)
    logger.warning(
        "left at the drain limit with {} requests in progress and {} bills not filed",
        entry.running_requests,
        len(entry.filer.queue),
    )
