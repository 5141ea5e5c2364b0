"""Speed of a stand-in and of its shared host, which can be changed while it runs."""

from __future__ import annotations

from typing import Final, NotRequired, TypedDict

USUAL_PCT: Final = 100


class HostChange(TypedDict):
    """A change of how long work takes, in hundredths of the usual time; None restores a value.

    `time_pct` is that of the stand-in itself, and it is never reported.  `pace_pct` is that of its
    host, and it is reported while it is set.
    """

    time_pct: NotRequired[int | None]
    pace_pct: NotRequired[int | None]


class Host:
    """How long work takes at a stand-in, and the pace that it reports."""

    def __init__(self) -> None:
        self._time_pct: int | None = None
        self.pace_pct: int | None = None
        """The pace to report, None for none."""

    def change(self, change: HostChange) -> None:
        """Apply a change; values that it does not contain are kept."""
        self._time_pct = change.get("time_pct", self._time_pct)
        self.pace_pct = change.get("pace_pct", self.pace_pct)

    def work_s(self, usual_s: float) -> float:
        """How long work takes now that usually takes `usual_s` seconds.

        >>> host = Host()
        >>> host.change({"time_pct": 50, "pace_pct": 300})
        >>> host.work_s(2.0)
        3.0
        """
        time_ratio = (USUAL_PCT if self._time_pct is None else self._time_pct) / USUAL_PCT
        pace_ratio = (USUAL_PCT if self.pace_pct is None else self.pace_pct) / USUAL_PCT
        return usual_s * time_ratio * pace_ratio
