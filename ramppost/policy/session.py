"""Session and stream tokens: self-contained and authenticated, so that no box stores them.

A token is `key id . payload . HMAC-SHA256`, in base64 without padding.  Tokens are signed with
the first key of the configuration and verified with any of its keys.  To rotate keys, add the
new one in front and remove the old one when its sessions have ended.
"""

from __future__ import annotations

import base64
import hashlib
import hmac
from typing import Final, NamedTuple, TypedDict, TypeVar

from ramppost.schema.config import SessionKey
from ramppost.wire.codec import BadMessage, decode, encode

MAC_BYTES: Final = 16

PayloadT = TypeVar("PayloadT")


class SessionPayload(TypedDict):
    """Contents of a session token."""

    kind: str
    session: str
    workspace: str
    model: str
    version: str


class StreamPayload(TypedDict):
    """Contents of a stream's event id: where reading of the answer can be resumed."""

    kind: str
    workspace: str
    request_id: str
    attempt: str
    agent: str
    model: str
    version: str


class BadToken(NamedTuple):
    """Why a token was rejected."""

    reason: str


def mint_token(keys: list[SessionKey], payload: SessionPayload | StreamPayload) -> str:
    """Create a token for a payload, signed with the first key."""
    key = keys[0]
    body = _base64(encode(payload))
    return f"{key['id']}.{body}.{_mac(key, body)}"


def verify_session_token(
    keys: list[SessionKey], token: str, workspace: str
) -> SessionPayload | BadToken:
    """Return a session token's payload if it is authentic and belongs to this workspace."""
    payload = _verify(keys, token, SessionPayload)
    if isinstance(payload, BadToken):
        return payload
    if payload["kind"] != "session" or payload["workspace"] != workspace:
        return BadToken("token is not of this workspace")
    return payload


def verify_stream_token(
    keys: list[SessionKey], token: str, workspace: str
) -> StreamPayload | BadToken:
    """Return a stream token's payload if it is authentic and belongs to this workspace."""
    payload = _verify(keys, token, StreamPayload)
    if isinstance(payload, BadToken):
        return payload
    if payload["kind"] != "stream" or payload["workspace"] != workspace:
        return BadToken("token is not of this workspace")
    return payload


def _verify(
    keys: list[SessionKey], token: str, payload_type: type[PayloadT]
) -> PayloadT | BadToken:
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
    payload = decode(data, payload_type)
    return BadToken(payload.reason) if isinstance(payload, BadMessage) else payload


def _mac(key: SessionKey, body: str) -> str:
    digest = hmac.new(key["secret"].encode(), body.encode(), hashlib.sha256).digest()
    return _base64(digest[:MAC_BYTES])


def _base64(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()
