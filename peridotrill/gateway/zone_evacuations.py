"""Availability zones that the operator has evacuated."""

from collections.abc import Callable, Iterable
from typing import final

from peridotrill.gateway.event_log import EventSink


@final
class ZoneEvacuations:
    """The zones whose targets get no new requests."""

    def __init__(
        self, log: EventSink, count_targets: Callable[[str], int]
    ) -> None:
        """Start without evacuated zones.

        :param count_targets: returns the number of targets in a zone.
        """
        self._log = log
        self._count_targets = count_targets
        self._zones: set[str] = set()
        # Zones that were evacuated when the store was restored, and that it has
        # not listed since: their records may have been lost.
        self._unrecorded: set[str] = set()
        self.on_taken_back: Callable[[str], None] = _ignore

    def __contains__(self, zone: str) -> bool:
        """Tell whether a zone is evacuated."""
        return zone in self._zones

    def __len__(self) -> int:
        """Return the number of evacuated zones."""
        return len(self._zones)

    def evacuate(self, zone: str) -> None:
        """Send nothing new to the targets of a zone."""
        self._unrecorded.discard(zone)
        if zone not in self._zones:
            self._zones.add(zone)
            self._write('zone_evacuated', zone)

    def take_back(self, zone: str) -> None:
        """Use the targets of a zone again."""
        self._unrecorded.discard(zone)
        if zone in self._zones:
            self._zones.remove(zone)
            self._write('zone_taken_back', zone)
            self.on_taken_back(zone)

    def expect_lost_records(self) -> None:
        """Keep the known evacuations although no listing may have them.

        A store that was restored from an older copy may have lost their
        records, and the operator has not taken the zones back.
        """
        self._unrecorded = set(self._zones)

    def apply_listing(self, zones: Iterable[str]) -> None:
        """Apply a listing of all evacuated zones."""
        listed = set(zones)
        for zone in sorted(listed):
            self.evacuate(zone)
        for gone in sorted(self._zones - listed - self._unrecorded):
            self.take_back(gone)

    def _write(self, event: str, zone: str) -> None:
        self._log.write(event, zone=zone, targets=self._count_targets(zone))


def _ignore(zone: str) -> None:
    """Do nothing; used until a callback is set."""
