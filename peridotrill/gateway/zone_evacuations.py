"""Availability zones that the operator has evacuated."""

from collections.abc import Callable, Iterable
from typing import final

from peridotrill.gateway.event_log import EventSink


@final
class ZoneEvacuations:
    """The zones whose targets get no new requests."""

    def __init__(self, log: EventSink) -> None:
        """Start without evacuated zones."""
        self._log = log
        self._zones: set[str] = set()
        # Whether the store was restored since the last listing: the records of
        # evacuations may have been lost with it.
        self._is_store_restored = False
        self.on_taken_back: Callable[[str], None] = _ignore

    def __contains__(self, zone: str) -> bool:
        """Tell whether a zone is evacuated."""
        return zone in self._zones

    def __len__(self) -> int:
        """Return the number of evacuated zones."""
        return len(self._zones)

    def evacuate(self, zone: str) -> None:
        """Send nothing new to the targets of a zone."""
        if zone not in self._zones:
            self._zones.add(zone)
            self._log.write('zone_evacuated', zone=zone)

    def take_back(self, zone: str) -> None:
        """Use the targets of a zone again."""
        if zone in self._zones:
            self._zones.remove(zone)
            self._log.write('zone_taken_back', zone=zone)
            self.on_taken_back(zone)

    def expect_lost_records(self) -> None:
        """Keep the known evacuations at the next listing.

        A store that was restored from an older copy may not list them, and
        the operator has not taken the zones back.
        """
        self._is_store_restored = True

    def apply_listing(self, zones: Iterable[str]) -> None:
        """Apply a listing of all evacuated zones."""
        listed = set(zones)
        for zone in sorted(listed):
            self.evacuate(zone)
        if not self._is_store_restored:
            for zone in sorted(self._zones - listed):
                self.take_back(zone)
        self._is_store_restored = False


def _ignore(zone: str) -> None:
    """Do nothing; used until a callback is set."""
