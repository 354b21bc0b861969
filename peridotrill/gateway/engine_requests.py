"""What requests to model engines have in common."""

from typing import Final

from peridotrill.gateway.request_context import RequestContext
from peridotrill.gateway.requests import Prompt

# A request with less time left is not sent: no event would arrive in time.
MIN_REMAINING_S: Final = 0.05
# An engine that processes other prompts first may need several times the
# prefill time of the prompt.
PREFILL_TIMEOUT_FACTOR: Final = 3
# Time from the reservation of an idle decode engine to the first event.
DECODE_LATENCY_S: Final = 0.04
# A stream may have this many events for each output token, and some more; one
# that is longer never ends.
_EVENTS_PER_TOKEN: Final = 2
_MAX_EXTRA_EVENTS: Final = 64
# Length of streams for which no number of tokens is declared.
_UNDECLARED_EVENTS: Final = 1000
# Engine priority of a route with priority 0; the default of engines is 5.
_ENGINE_PRIORITY_BASE: Final = 3
_ENGINE_PRIORITY_MAX: Final = 9
# Added to requests that have missed their latency goal, so that requests that
# can still meet theirs run first.
_ENGINE_PRIORITY_LATE: Final = 3


def expected_tokens(prompt: Prompt) -> int:
    """Return the number of tokens that the output will probably have."""
    expected = prompt.expected_output_tokens
    if expected is None:
        return prompt.max_output_tokens
    return min(expected, prompt.max_output_tokens)


def max_events(prompt: Prompt | None) -> int:
    """Return the largest number of events that the output may have."""
    if prompt is None:
        return _UNDECLARED_EVENTS
    return prompt.max_output_tokens * _EVENTS_PER_TOKEN + _MAX_EXTRA_EVENTS


def engine_priority(context: RequestContext) -> int:
    """Return the priority of a request at an engine."""
    priority = _ENGINE_PRIORITY_BASE + context.priority
    if context.is_late():
        priority += _ENGINE_PRIORITY_LATE
    return min(_ENGINE_PRIORITY_MAX, priority)
