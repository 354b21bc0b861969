"""When work would be done at a target, for the choice between targets.

The work ahead of a request and the request itself take in proportion to the
slowness of the target, so that a target of half the speed gets about half the
work. At equal speeds, the order of the estimates is that of the work ahead.
"""

from typing import Final

# Slowness of a target that is as fast as the others of its service.
USUAL_SLOWNESS: Final = 1.0


def estimate_ms(ahead_ms: float, work_ms: float, slowness: float) -> float:
    """Return the time until a target has done some work.

    :param ahead_ms: work that it has to do before, in time of a usual target.

    :param work_ms: the work, in the same unit.
    """
    return (ahead_ms + work_ms) * slowness


def estimate_requests(running: float, slowness: float) -> float:
    """Return the load that a request meets, in requests at a usual target.

    It counts those that are running, and what the request itself takes longer
    than at a usual target.
    """
    if slowness == USUAL_SLOWNESS:
        return running
    return (running + 1) * slowness - 1


def usual_slowness(target_id: str) -> float:
    """Return the slowness of any target where all are equally fast."""
    return USUAL_SLOWNESS
