"""Tells heads of responses that are no HTTP though the parser lets them pass.

The parser refuses what it can't read, such as a name with a blank.  It passes on any status of
three digits from 100 on, any version and most control bytes, which a caller may take for an answer
or stumble over.

    head_fault(h11.Response(status_code=999, headers=[]))  # 'status 999'
"""

from __future__ import annotations

import re
from typing import Final

import h11

Head = h11.Response | h11.InformationalResponse
MAJOR_VERSION: Final = b"1."
LAST_STATUS: Final = 599
"""The last one of RFC 9110, section 15."""
MAX_INFORMATIONAL: Final = 8
"""Informational responses that may precede a response."""
_CONTROL: Final = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
"""Bytes that no value may hold (RFC 9110, section 5.5); a tab may stand in one."""


def head_fault(head: Head) -> str:
    """What is wrong with a head; empty if nothing is."""
    if not head.http_version.startswith(MAJOR_VERSION):
        return f"version {head.http_version!r}"
    if head.status_code > LAST_STATUS:
        return f"status {head.status_code}"
    if _CONTROL.search(head.reason):
        return "control byte in the reason"
    for name, value in head.headers:
        if _CONTROL.search(value):
            return f"control byte in {name.decode('latin-1')}"
    return ""
