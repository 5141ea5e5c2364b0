"""Names in the platform's wire protocol.

Header names are in lower case, as `h11` compares them.  No other package than
`ramppost.platform` may spell them out; a test checks that.
"""

from __future__ import annotations

from typing import Final

# Request and response headers.
ATTEMPT_ID: Final = b"x-attempt-id"
DEADLINE_MS: Final = b"x-deadline-ms"
API_KEY: Final = b"api-key"
WORKSPACE: Final = b"x-tenant"
EXPECTED_UPSTREAM: Final = b"x-expect-instance"
EXPECTED_VERSION: Final = b"x-expect-version"
PRIORITY: Final = b"x-request-priority"
MODEL: Final = b"x-model"
LENGTH_HINT: Final = b"x-length-hint"
TOKEN_COUNTS: Final = b"x-token-counts"
PROMPT_PARTS: Final = b"x-prompt-prefix"
SESSION: Final = b"session"
LAST_EVENT_ID: Final = b"last-event-id"
SIGNATURE: Final = b"x-runner-stamp"
"""An upstream's signature of the status and body of its response."""
NOT_RUN: Final = b"x-not-executed"
LEAVING: Final = b"server-leaving"
LOAD: Final = b"x-runner-load"
CONFIDENCE: Final = b"x-confidence"
RATE_LIMIT: Final = b"server-limit"
"""Requests per second that an upstream accepts from all gateways together, while it says so."""

INSTANCE_ID: Final = b"x-instance-id"

ANY_MODEL: Final = "*"
STATUS_WRONG_UPSTREAM: Final = 421
STATUS_OVERLOADED: Final = 503
"""With `Retry-After`, the upstream wants nothing from this gateway for so long."""

RESERVED: Final = frozenset(
    {
        API_KEY,
        WORKSPACE,
        EXPECTED_UPSTREAM,
        EXPECTED_VERSION,
        PRIORITY,
        DEADLINE_MS,
        b"x-kv-hold",
        b"x-pin-ms",
        b"x-kv-backup",
        b"kv-from",
        b"kv-fetch",
    }
)
"""Headers that only the gateway may set; they are removed from a caller's request."""

STORE_ERA: Final = "store-era"
"""In all answers of the store: rises by one each time it comes back from an older copy."""

# Kinds of objects in the store.
CONFIG_KIND: Final = "config"
CONFIG_NAME: Final = "main"
UPSTREAM_KIND: Final = "servers"
ROLLOUT_KIND: Final = "rollouts"
EVACUATION_KIND: Final = "evacuations"
