"""Shares crashes of engines, and proofs against suspicions, among gateways.

The requests that crash engines come at any gateway, and each gateway sees only
its own requests at a crash. All gateways apply the same crashes, so they
quarantine the same prompt parts.
"""

import zlib
from collections import deque
from collections.abc import Iterable
from datetime import timedelta
from typing import Final, final

import anyio

from peridotrill.clock import Clock
from peridotrill.gateway.peers import (
    CrashReport,
    CrashRow,
    PartProof,
    PeerExchange,
    rank_for_key,
)
from peridotrill.gateway.report_timing import report_interval_s
from peridotrill.prompt_quarantine import PromptQuarantine, Quarantine
from peridotrill.target_crashes import Exposure, TargetCrash

# Each row is repeated in this many reports, since datagrams may be lost.
_REPORT_COUNT: Final = 3
# Keeps each datagram within 8 KiB: rows of 80 bytes.
_ROWS_PER_MESSAGE: Final = 80
# Limits the rows of a gateway that has many requests at an engine.
_MAX_ROWS_PER_REPORT: Final = 240
# Quarantined parts are reported again at this interval, for gateways that have
# started or were unreachable. Two gateways in turn do so, since datagrams may
# be lost; from all of them, the traffic would grow with the size of the fleet.
_LISTING_INTERVAL: Final = timedelta(seconds=1)
_LISTING_SENDERS: Final = 2
# Time for which one gateway may try a part. Its callers may not send the part,
# so the others get a turn later.
_TRIAL_TURN: Final = timedelta(seconds=10)
_MS_PER_S: Final = 1000


@final
class QuarantineSharing:
    """The quarantine of this gateway, kept in agreement with its peers."""

    def __init__(
        self,
        node: str,
        quarantine: PromptQuarantine,
        peers: PeerExchange,
        clock: Clock,
    ) -> None:
        """:param node: name of the node of this gateway."""
        self._node = node
        self._quarantine = quarantine
        self._peers = peers
        self._clock = clock
        self._listed_s = clock.monotonic_s()
        # Rows of the next reports: added since the last one, and repeated.
        self._crashes: deque[list[TargetCrash]] = deque([[]], _REPORT_COUNT)
        self._proofs: deque[dict[str, float]] = deque([{}], _REPORT_COUNT)
        peers.on_crashes = self.handle_report

    def find(self, parts: tuple[str, ...]) -> Quarantine | None:
        """Return the quarantine that applies to a prompt, or None."""
        return self._quarantine.find(parts)

    @property
    def is_needed(self) -> bool:
        """Whether anything is suspected."""
        return self._quarantine.has_suspects

    def is_suspected(self, part_id: str) -> bool:
        """Whether a target crashed under a part since its last response."""
        return self._quarantine.is_suspected(part_id)

    def last_crash_s(self, parts: Iterable[str]) -> float:
        """Return when a target last crashed under one of the parts."""
        return self._quarantine.last_crash_s(parts)

    def try_start_trial(self, part_id: str) -> bool:
        """Allow one request with a part whose quarantine has ended.

        Only one of the gateways may try it at a time.
        """
        if not self._has_turn(part_id, _TRIAL_TURN, 1):
            return False
        return self._quarantine.try_start_trial(part_id)

    def record_crash(self, crash: TargetCrash) -> None:
        """Apply a crash that this gateway has seen, and report it."""
        digest = zlib.crc32(crash.process.encode())
        crash = crash._replace(process=str(digest))
        self._record_proofs(self._quarantine.record_crash(crash))
        if crash.exposures:
            self._crashes[-1].append(crash)

    def record_proof(self, parts: Iterable[str], started_s: float) -> None:
        """Record that an engine survived the start of a response."""
        for part_id in self._quarantine.record_proof(parts, started_s):
            self._proofs[-1][part_id] = started_s

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            self.send_report()
            await anyio.sleep(report_interval_s(len(self._peers.members)))

    def send_report(self) -> None:
        """Send what is new, and from time to time all quarantined parts."""
        now_s = self._clock.monotonic_s()
        crashes = [crash for batch in self._crashes for crash in batch]
        if now_s - self._listed_s >= _LISTING_INTERVAL.total_seconds():
            self._listed_s = now_s
            if self._has_turn('listing', _LISTING_INTERVAL, _LISTING_SENDERS):
                crashes += self._quarantine.quarantined_crashes()
        rows = _to_rows(crashes, now_s)[:_MAX_ROWS_PER_REPORT]
        proofs = [
            PartProof(part_id, _age_ms(now_s, started_s))
            for batch in self._proofs
            for part_id, started_s in batch.items()
        ][:_MAX_ROWS_PER_REPORT]
        self._crashes.append([])
        self._proofs.append({})
        for start in range(0, max(len(rows), len(proofs)), _ROWS_PER_MESSAGE):
            end = start + _ROWS_PER_MESSAGE
            self._peers.send(
                CrashReport(self._node, rows[start:end], proofs[start:end])
            )

    def handle_report(self, report: CrashReport) -> None:
        """Apply the crashes and proofs of another gateway."""
        now_s = self._clock.monotonic_s()
        for proof in report.proofs:
            self._quarantine.record_proof(
                (proof.part_id,), now_s - proof.age_ms / _MS_PER_S
            )
        for row in report.crashes:
            exposure = Exposure(row.parts, now_s - row.alive_age_ms / _MS_PER_S)
            ended_s = now_s - row.ended_age_ms / _MS_PER_S
            crash = TargetCrash(str(row.process), ended_s, (exposure,))
            self._record_proofs(self._quarantine.record_crash(crash))

    def _has_turn(self, key: str, duration: timedelta, count: int) -> bool:
        """Return whether this gateway is among those whose turn it is."""
        turn = int(self._clock.now().timestamp() // duration.total_seconds())
        active = (
            *self._peers.active_members(),
            self._node,
        )
        return self._node in rank_for_key(active, f'{key}/{turn}', count)

    def _record_proofs(self, harmless: Iterable[str]) -> None:
        """Report proofs that the sender of a crash does not know."""
        for part_id in harmless:
            proven_s = self._quarantine.proven_s(part_id)
            if proven_s is not None:
                self._proofs[-1][part_id] = proven_s


def _to_rows(crashes: Iterable[TargetCrash], now_s: float) -> list[CrashRow]:
    """Return one row for each process and set of parts."""
    rows: dict[tuple[str, tuple[str, ...]], CrashRow] = {}
    for crash in crashes:
        for exposure in crash.exposures:
            row = CrashRow(
                int(crash.process),
                _age_ms(now_s, crash.ended_s),
                _age_ms(now_s, exposure.alive_s),
                exposure.parts,
            )
            key = (crash.process, exposure.parts)
            known = rows.get(key)
            if known is None or row.alive_age_ms < known.alive_age_ms:
                rows[key] = row
    return list(rows.values())


def _age_ms(now_s: float, at_s: float) -> int:
    return max(0, round((now_s - at_s) * _MS_PER_S))
