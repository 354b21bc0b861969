"""How often gateways report to each other, and when a silent one counts as gone.

What a report says is as old as the interval between reports, which grows with
the number of gateways. Each age by which a gateway judges another one follows
from the interval, so that a report that is late or lost is no evidence of a
failure at any size.
"""

from typing import Final

# Report interval with few gateways.
_MIN_INTERVAL_S: Final = 0.1
# Limits the reports that a gateway receives to 167 per second, which take 0.9% of
# a core at 52 us a report.
_INTERVAL_PER_PEER_S: Final = 0.006
# Reports in a row that a gateway may miss before it counts as silent. Datagrams
# are lost at 2.5% at most, so that three lost ones are 16 in a million.
_MISSED_REPORTS: Final = 3.5


def report_interval_s(peers: int) -> float:
    """Return the interval between two reports of a gateway.

    :param peers: number of the other gateways.
    """
    return max(_MIN_INTERVAL_S, _INTERVAL_PER_PEER_S * peers)


def silence_s(peers: int, least_s: float) -> float:
    """Return the age of the last report at which a gateway counts as silent.

    :param peers: number of the other gateways.
    :param least_s: age below which no gateway counts as silent, whatever the
        interval.
    """
    return max(least_s, _MISSED_REPORTS * report_interval_s(peers))
