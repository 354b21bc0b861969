"""Registry of measurements; each size runs in a process of its own."""

from collections.abc import Callable, Sequence
from typing import Final, NamedTuple, TypeAlias

from peridotrill.registry import Registry

Quantities: TypeAlias = dict[str, float]
PointFunction: TypeAlias = Callable[[int], Quantities]


class Measurement(NamedTuple):
    """A function that is measured at several sizes.

    ``subject`` is the module that defines it, ``axis`` says what the size
    counts, and ``carrier`` names the modules whose cost is measured.
    """

    name: str
    subject: str
    axis: str
    carrier: str
    sizes: tuple[int, ...]
    run_point: PointFunction


measurements: Final[Registry[str, Measurement]] = Registry('measurement')


def measurement(
    name: str,
    axis: str,
    carrier: str,
    sizes: Sequence[int],
) -> Callable[[PointFunction], PointFunction]:
    """Return a decorator that registers a function as a measurement.

    :param name: key in the results file; raises KeyError if it is taken.
    :param axis: what the size counts.
    :param carrier: names of the modules whose cost is measured.
    :param sizes: sizes to measure, each in a new process.
    """

    def decorate(run_point: PointFunction) -> PointFunction:
        subject = run_point.__module__.rpartition('.')[2]
        register = measurements.register(name)
        register(
            Measurement(name, subject, axis, carrier, tuple(sizes), run_point)
        )
        return run_point

    return decorate
