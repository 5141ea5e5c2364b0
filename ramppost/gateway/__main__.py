"""Runs a gateway: `python -m ramppost.gateway`.

The process listens on the callers' address before it imports anything large.  Imports take
several tenths of a second on a small share of a core, and callers that connect meanwhile wait in
the listen backlog instead of being refused.
"""

from __future__ import annotations

import os
import signal

from ramppost.gateway.early import listen_early


def _main() -> None:
    # Its handler is set later, and its default ends the process; the settings are not read yet.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    path = os.environ.get("RAMPPOST_CONFIG", "")
    early_socket = listen_early(path)
    from ramppost.gateway.main import main

    main(path, early_socket)


_main()
