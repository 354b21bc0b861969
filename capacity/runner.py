"""Runs all measurements, a few processes at a time."""

import json
import os
import platform
import subprocess
import sys
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any, Final, NamedTuple

from capacity.measurements import Measurement, measurements
from capacity.subjects import import_measurement_modules

_WORKERS: Final = 3
_POINT_TIMEOUT_S: Final = 90


class _Point(NamedTuple):
    name: str
    size: int


def run_all() -> dict[str, Any]:
    """Run each measurement at each size in a process of its own.

    :return: content of the results file.
    """
    load_average = os.getloadavg()[0]
    import_measurement_modules()
    registered = list(_iter_measurements())
    points = [
        _Point(subject.name, size)
        for subject in registered
        for size in subject.sizes
    ]
    with ThreadPoolExecutor(_WORKERS) as executor:
        measured = dict(
            zip(points, executor.map(_run_point, points), strict=True)
        )
    return {
        'machine': {
            'cores': os.cpu_count(),
            'load_average_before': round(load_average, 1),
            'python': platform.python_version(),
            'system': platform.system(),
        },
        'measurements': {
            subject.name: _build_document(subject, measured)
            for subject in registered
        },
    }


def _iter_measurements() -> Iterator[Measurement]:
    for name in measurements:
        registered = measurements.get(name)
        if registered is not None:
            yield registered


def _build_document(
    subject: Measurement,
    measured: dict[_Point, dict[str, float]],
) -> dict[str, Any]:
    return {
        'subject': subject.subject,
        'axis': subject.axis,
        'carrier': subject.carrier,
        'points': [
            {'size': size, 'quantities': measured[_Point(subject.name, size)]}
            for size in subject.sizes
        ],
    }


def _run_point(point: _Point) -> dict[str, float]:
    command = [sys.executable, '-m', 'capacity.point']
    ended = subprocess.run(
        [*command, point.name, str(point.size)],
        stdout=subprocess.PIPE,
        timeout=_POINT_TIMEOUT_S,
        check=True,
    )
    sys.stderr.write(f'measured {point.name} at size {point.size}\n')
    return json.loads(ended.stdout)
