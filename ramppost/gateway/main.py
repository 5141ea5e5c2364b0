"""Starts a gateway, reloads its settings and runs its planned stop."""

from __future__ import annotations

import os
import signal
import socket
import sys
from typing import Final

import curio
from loguru import logger

from ramppost import clock, logs
from ramppost.errors import error_body, unread_refusal
from ramppost.gateway.datagrams import Address, DatagramHandler
from ramppost.gateway.departures import RESTART_DELAY_S, announce_leaving, handle_leaving_note
from ramppost.gateway.early import parse_address
from ramppost.gateway.fatal_doc import sync_document
from ramppost.gateway.inbound import ServerHooks, accept_callers
from ramppost.gateway.joining import join
from ramppost.gateway.loading import load_pending
from ramppost.gateway.operators import internal_handler
from ramppost.gateway.rewriting import keep_plans, keep_policies
from ramppost.gateway.rollout_duty import drive_rollouts
from ramppost.gateway.serve import StopEnded, refuse_by_head, serve
from ramppost.gateway.settings import BadSettings, read_settings
from ramppost.gateway.state import Gateway
from ramppost.schema.messages import PeerDatagram
from ramppost.schema.settings import GatewaySettings
from ramppost.wire.reader import BadInput
from ramppost.wire.server import Handler, Limits, Reply, Request, listen
from ramppost.wire.server import serve as serve_http
from ramppost.wire.signals import Signals

BAD_SETTINGS_EXIT_CODE: Final = 2
SETTINGS_POLL_S: Final = 1.0
MIN_STOP_S: Final = 2.5
"""Shortest planned stop: the load balancer checks health every second and removes a box after two
failures.  After that, idle connections are closed and new streams are refused, since they may
outlast the stop."""
STOP_MARGIN_S: Final = 0.7
"""How long before the limit `stop_s` a planned stop ends, so that the process exits by itself."""
REFUSE_ALL_S: Final = 1.5
"""How long before the end of a stop the last request is accepted, however short it may be."""
ANSWER_S: Final = 0.3
"""How long callers may take for the answers that are sent at the end of a stop; less than
`STOP_MARGIN_S`."""
INITIAL_STATE_TIMEOUT_S: Final = 0.4
"""How long the start waits for the first configuration and upstreams: the store answers in
milliseconds, and without it callers should soon get a response that tells them to retry."""
INITIAL_STATE_POLL_S: Final = 0.005
STOP_POLL_S: Final = 0.05
DROP_BODIES: Final = Limits(header_bytes=16384, body_bytes=4 * 1024 * 1024, keeps_bodies=False)
"""Limits of ports that take no bodies."""
METRICS_CONTENT_TYPE: Final = "text/plain; version=0.0.4"


def main(path: str, early_socket: socket.socket | None = None) -> None:
    """Run a gateway; `early_socket` already listens on the callers' address."""
    cfg = read_settings(path)
    if isinstance(cfg, BadSettings):
        print(cfg.reason, file=sys.stderr)
        sys.exit(BAD_SETTINGS_EXIT_CODE)
    logs.set_up_stdout(cfg["log"], cfg["name"])
    signals = Signals((signal.SIGTERM, signal.SIGINT, signal.SIGHUP))
    kernel = curio.Kernel()
    kernel.run(run, cfg, path, signals, early_socket)
    os._exit(0)


async def run(
    cfg: GatewaySettings, path: str, signals: Signals, early_socket: socket.socket | None
) -> None:
    """Run until a signal requests a planned stop."""
    gw = Gateway(cfg)
    logger.info(
        "starting",
        addr=cfg["listen"],
        hall=cfg["hall"],
        store=cfg["store"]["addr"],
        session_s=cfg["timing"]["session_s"],
    )
    await curio.spawn(join, gw, daemon=True)
    await curio.spawn(drive_rollouts, gw, daemon=True)
    await _serve_port(gw, *parse_address(cfg["health"]), _health_handler(gw), DROP_BODIES)
    await _serve_port(gw, cfg["ip"], cfg["internal_port"], internal_handler(gw), Limits())
    await curio.spawn(
        gw.datagrams.listen, cfg["ip"], cfg["internal_port"], _datagram_handler(gw), daemon=True
    )
    await curio.spawn(load_pending, gw, daemon=True)
    await curio.spawn(gw.fatal.send_ends, daemon=True)
    await curio.spawn(gw.fatal.judge, daemon=True)
    await curio.spawn(gw.limit_news.ask_others, daemon=True)
    await curio.spawn(gw.rollout_news.exchange, daemon=True)
    await curio.spawn(gw.evidence_news.exchange, daemon=True)
    await curio.spawn(sync_document, gw, daemon=True)
    await curio.spawn(keep_policies, gw, daemon=True)
    await curio.spawn(keep_plans, gw, daemon=True)
    await _serve_port(gw, cfg["ip"], cfg["metrics_port"], _metrics_handler(gw), DROP_BODIES)
    hooks = ServerHooks(
        limits=lambda: gw.limits,
        is_closing=lambda: gw.draining,
        serve=lambda req, reply, read_at: serve(gw, req, reply, read_at),
        refuse=lambda req, reply, read_at: refuse_by_head(gw, req, reply, read_at),
        refusal_body=_bad_request_body,
    )
    await _wait_for_initial_state(gw)
    caller_socket = (
        curio.io.Socket(early_socket)
        if early_socket is not None
        else listen(*parse_address(cfg["listen"]))
    )
    await curio.spawn(accept_callers, caller_socket, gw.callers, hooks, daemon=True)
    await curio.spawn(_poll_settings, gw, path, daemon=True)
    while (signal_number := await signals.wait()) == signal.SIGHUP:
        reload_settings(gw, path)
    await _stop(gw, signal_number)


async def _serve_port(gw: Gateway, host: str, port: int, handler: Handler, limits: Limits) -> None:
    """Serve a port beside that of the callers."""
    intake = gw.callers.intake
    sock = listen(host, port)
    await curio.spawn(serve_http, sock, handler, limits, None, None, None, intake, daemon=True)


async def _wait_for_initial_state(gw: Gateway) -> None:
    """Wait for the configuration and upstreams, so that the first callers are not refused."""
    deadline = clock.now() + INITIAL_STATE_TIMEOUT_S
    while clock.now() < deadline and (gw.table is None or not gw.members_listed):
        await curio.sleep(INITIAL_STATE_POLL_S)


def reload_settings(gw: Gateway, path: str) -> None:
    """Reload the settings file; an invalid one leaves the current settings in force."""
    cfg = read_settings(path)
    if isinstance(cfg, BadSettings):
        logger.error("settings not reloaded: {}", cfg.reason)
        return
    changed = [key for key in cfg if cfg.get(key) != gw.cfg.get(key)]
    gw.reconfigure(cfg)
    logger.info("settings reloaded", changed=changed)


async def _poll_settings(gw: Gateway, path: str) -> None:
    """Reload the settings when the file changes without a signal."""
    last_modified_at = _modified_at(path)
    while True:
        await curio.sleep(SETTINGS_POLL_S)
        modified_at = _modified_at(path)
        if modified_at != last_modified_at:
            last_modified_at = modified_at
            reload_settings(gw, path)


def _modified_at(path: str) -> float:
    try:
        return os.stat(path).st_mtime
    except OSError:
        return 0.0


async def _stop(gw: Gateway, signal_number: int) -> None:
    """Run a planned stop.

    The gateway reports at once that it is not ready, but accepts requests that it can answer until
    the callers have moved to other gateways.  Requests under way are not interrupted before the end
    of the stop; then their callers are told what is known of them.
    """
    started_at = clock.now()
    gw.draining = True
    logger.info("stopping", signal=signal_number, busy=gw.callers.busy)
    deadline = started_at + gw.cfg["timing"]["stop_s"] - STOP_MARGIN_S
    gw.stop_ends_at = deadline
    gw.resume_at = deadline + RESTART_DELAY_S
    await curio.spawn(announce_leaving, gw, daemon=True)
    gw.sessions.hand_over()
    await curio.sleep(MIN_STOP_S)
    gw.refusal_scope = "streams"
    while (now := clock.now()) < deadline and gw.callers.busy:
        if now > deadline - REFUSE_ALL_S:
            gw.refusal_scope = "all"
        gw.callers.close_idle()
        await curio.sleep(STOP_POLL_S)
    await _answer_unfinished(gw)
    gw.sessions.hand_over()
    logger.info("stopped", left_busy=gw.callers.busy, after_s=round(now - started_at, 2))


async def _answer_unfinished(gw: Gateway) -> None:
    """Have callers told, whose requests are still under way, what is known of these."""
    for task in list(gw.serving):
        await task.cancel(exc=StopEnded, blocking=False)
    until = clock.now() + ANSWER_S
    while gw.callers.busy and clock.now() < until:
        await curio.sleep(STOP_POLL_S)


def _datagram_handler(gw: Gateway) -> DatagramHandler:
    """The handler of datagrams from other gateways."""

    async def handle(message: PeerDatagram, addr: Address) -> None:
        if "leaving" in message:
            handle_leaving_note(gw, message["leaving"])
        elif "ended" in message or "harmless" in message or "fatal" in message:
            if "ended" in message and message["ended"]["gone"]:
                gw.members.mark_ended(message["ended"]["upstream"], clock.now())
            await gw.fatal.handle_datagram(message)
        elif "limit" in message or "limit_ask" in message:
            gw.limit_news.handle_datagram(message, addr)
        elif "rollout" in message:
            gw.rollout_news.handle_datagram(message["rollout"], addr)
        elif "evidence" in message:
            gw.evidence_news.handle_datagram(message["evidence"])
        elif "sessions" in message or "session_ask" in message or "session_answer" in message:
            await gw.sessions.handle_datagram(message, addr)
        else:
            await gw.backlogs.handle_datagram(message, addr)

    return handle


def _bad_request_body(error: BadInput) -> bytes:
    logger.info("request not read: {}", error.reason, status=error.status)
    return error_body(unread_refusal(error))


def _health_handler(gw: Gateway) -> Handler:
    async def handle(req: Request, reply: Reply) -> None:
        await reply.send(200 if gw.ready else 503, b"{}")

    return handle


def _metrics_handler(gw: Gateway) -> Handler:
    async def handle(req: Request, reply: Reply) -> None:
        gw.metrics.gauges["ramppost_store_calls"] = gw.store.calls
        gw.metrics.gauges["ramppost_inner_bytes_read"] = gw.store.pool.bytes_in
        gw.metrics.gauges["ramppost_config_revision_known"] = gw.config_revision_known
        gw.metrics.gauges["ramppost_config_revision"] = gw.table.revision if gw.table else 0
        gw.metrics.gauges["ramppost_upstream_connections_opened"] = gw.connections.opened
        gw.metrics.gauges["ramppost_upstreams_rate_limited"] = len(gw.rate_limits)
        gw.metrics.gauges["ramppost_caller_buffer_bytes"] = gw.callers.buffers.total_bytes
        intake = gw.callers.intake
        gw.metrics.gauges["ramppost_client_connections"] = intake.connections
        gw.metrics.gauges["ramppost_client_small_bytes"] = intake.small_bytes
        gw.metrics.gauges["ramppost_client_large_bytes"] = intake.large_bytes
        gw.metrics.gauges["ramppost_clients_given_up"] = intake.given_up
        gw.metrics.gauges["ramppost_large_requests_refused"] = intake.refused
        gw.metrics.gauges["ramppost_log_lines_dropped"] = logs.dropped_lines()
        await reply.send(200, gw.metrics.text(), METRICS_CONTENT_TYPE)

    return handle
