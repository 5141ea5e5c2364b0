"""Session and stream tokens: self-describing and authenticated, so no box keeps them.

A token is `key id . payload . HMAC-SHA256`, base64 without padding.  The first
key of the configuration mints; every key in it verifies, which is how keys are
rotated: add the new one in front, drop the old one when its sessions are over.
"""

from __future__ import annotations

import base64
import hashlib
import hmac
from typing import Final, NamedTuple, TypedDict, TypeVar

from ramppost.schema.config import SessionKey
from ramppost.wire.codec import BadMessage, decode, encode

MAC_BYTES: Final = 16

T = TypeVar("T")


class SessionPayload(TypedDict):
    """What a session token says."""

    kind: str
    session: str
    workspace: str
    model: str
    version: str


class StreamPayload(TypedDict):
    """What a stream's event id says: where the answer can be read on."""

    kind: str
    workspace: str
    request_id: str
    attempt: str
    agent: str
    model: str
    version: str


class BadToken(NamedTuple):
    """Why a token is not accepted."""

    reason: str


def mint_token(keys: list[SessionKey], payload: SessionPayload | StreamPayload) -> str:
    """A token for a payload, made with the first key."""
    key = keys[0]
    body = _b64(encode(payload))
    return f"{key['id']}.{body}.{_mac(key, body)}"


def verify_session_token(
    keys: list[SessionKey], token: str, workspace: str
) -> SessionPayload | BadToken:
    """The session of a token, if it is authentic and of this workspace."""
    found = _read(keys, token, SessionPayload)
    if isinstance(found, BadToken):
        return found
    if found["kind"] != "session" or found["workspace"] != workspace:
        return BadToken("token is not of this workspace")
    return found


def verify_stream_token(
    keys: list[SessionKey], token: str, workspace: str
) -> StreamPayload | BadToken:
    """The place in a stream of a token, if it is authentic and of this workspace."""
    found = _read(keys, token, StreamPayload)
    if isinstance(found, BadToken):
        return found
    if found["kind"] != "stream" or found["workspace"] != workspace:
        return BadToken("token is not of this workspace")
    return found


def _read(keys: list[SessionKey], token: str, kind: type[T]) -> T | BadToken:
    parts = token.split(".")
    if len(parts) != 3 or not token.isascii():
        return BadToken("not a token")
    key_id, body, mac = parts
    key = next((k for k in keys if k["id"] == key_id), None)
    if key is None:
        return BadToken("token was made with a key that is not in force")
    if not hmac.compare_digest(mac, _mac(key, body)):
        return BadToken("token is forged")
    try:
        data = base64.urlsafe_b64decode(body + "=" * (-len(body) % 4))
    except ValueError:
        return BadToken("not a token")
    value = decode(data, kind)
    return BadToken(value.reason) if isinstance(value, BadMessage) else value


def _mac(key: SessionKey, body: str) -> str:
    digest = hmac.new(key["secret"].encode(), body.encode(), hashlib.sha256).digest()
    return _b64(digest[:MAC_BYTES])


def _b64(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()
