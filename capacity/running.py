"""Runs all points, a few processes at a time."""

import json
import os
import platform
import subprocess
import sys
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any, Final, NamedTuple

from capacity.measurements import Measurement, measurements
from capacity.subjects import load_subjects

_WORKERS: Final = 3
_POINT_TIMEOUT_S: Final = 90


class _Point(NamedTuple):
    name: str
    size: int


def run_all() -> dict[str, Any]:
    """Run every point in a process of its own.

    :return: content of the results file.
    """
    load_average = os.getloadavg()[0]
    load_subjects()
    found = list(_registered())
    points = [
        _Point(subject.name, size)
        for subject in found
        for size in subject.sizes
    ]
    with ThreadPoolExecutor(_WORKERS) as executor:
        measured = dict(zip(points, executor.map(_run, points), strict=True))
    return {
        'machine': {
            'cores': os.cpu_count(),
            'load_average_before': round(load_average, 1),
            'python': platform.python_version(),
            'system': platform.system(),
        },
        'measurements': {
            subject.name: _document(subject, measured) for subject in found
        },
    }


def _registered() -> Iterator[Measurement]:
    for name in measurements:
        found = measurements.get(name)
        if found is not None:
            yield found


def _document(
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


def _run(point: _Point) -> dict[str, float]:
    command = [sys.executable, '-m', 'capacity.point']
    ended = subprocess.run(
        [*command, point.name, str(point.size)],
        stdout=subprocess.PIPE,
        timeout=_POINT_TIMEOUT_S,
        check=True,
    )
    sys.stderr.write(f'measured {point.name} at {point.size}\n')
    return json.loads(ended.stdout)
