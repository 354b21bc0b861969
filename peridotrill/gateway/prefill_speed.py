"""Learns how fast the model engines of a service read prompts.

The configuration does not say it, and services differ by a factor of two and
more. Forecasts, limits of queues and the plan of roles depend on it.
"""

from collections import deque
from collections.abc import Mapping
from statistics import median
from typing import Final, final

# Time of a prefill call that does not depend on the prompt: the connection, the
# step that is in progress, and the response.
CALL_OVERHEAD_MS: Final = 30.0
# Less work says little, since the overhead varies, and so does what other
# gateways have sent since their last reports.
_MIN_MODEL_MS: Final = 100.0
_MIN_SAMPLES: Final = 5
_MAX_SAMPLES: Final = 64
# Bounds what unusual reads can do to the forecasts.
_MIN_SLOWDOWN: Final = 0.25
_MAX_SLOWDOWN: Final = 8.0


@final
class PrefillSpeed:
    """Ratio of the time that prompts take to that of the engine model.

    Each gateway learns it from its own prompts; all use the median.
    """

    def __init__(self) -> None:
        """Start with the speed of the engine model."""
        self._samples: dict[str, deque[float]] = {}
        self._local: dict[str, float] = {}
        self._peers: dict[str, Mapping[str, float]] = {}
        self._medians: dict[str, float] = {}

    def record(
        self,
        service: str,
        model_ms: float,
        took_ms: float,
        target_slowness: float = 1,
    ) -> None:
        """Record how long a prompt took, with the work known to be before it.

        :param model_ms: time of both by the engine model, without any slowdown.

        :param target_slowness: factor by which the engine is slower than the
            others of the service.
        """
        if model_ms < _MIN_MODEL_MS:
            return
        samples = self._samples.setdefault(service, deque(maxlen=_MAX_SAMPLES))
        read_ms = max(0.0, took_ms - CALL_OVERHEAD_MS) / target_slowness
        samples.append(read_ms / model_ms)
        if len(samples) >= _MIN_SAMPLES:
            self._local[service] = _bounded(median(samples))
            self._update(service)

    def local_slowdowns(self) -> dict[str, float]:
        """Return what this gateway has learned, for its reports to peers."""
        return {name: round(ratio, 2) for name, ratio in self._local.items()}

    def observe_peer(self, peer: str, slowdowns: Mapping[str, float]) -> None:
        """Apply what another gateway has learned."""
        self._peers[peer] = slowdowns
        for service in slowdowns:
            self._update(service)

    def slowdown(self, service: str) -> float:
        """Return the factor by which prompts take longer than by the model."""
        return self._medians.get(service, 1.0)

    def _update(self, service: str) -> None:
        known = [
            _bounded(slowdowns[service])
            for slowdowns in (self._local, *self._peers.values())
            if service in slowdowns
        ]
        self._medians[service] = median(known)


def _bounded(ratio: float) -> float:
    return min(_MAX_SLOWDOWN, max(_MIN_SLOWDOWN, ratio))
