"""Runs the measurement: ``python -m measurement [SEED [DURATION_S]]``."""

import json
import os
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, Final

from measurement import figures, systems
from measurement.node import measure_node
from measurement.report import (
    LATEST_RESULTS,
    list_missed_requirements,
    write_report,
)
from measurement.resource_usage import ResourceUsage
from measurement.run import IDLE_MEASUREMENT_S, DeploymentRun
from standins import topology

# Keeps the three replays of both deployments under five minutes in total.
DURATION_S: Final = 30.0


def measure(seed: int, folder: Path, duration_s: float) -> dict[str, Any]:
    """Measure both deployments and a single entry.

    :return: figures, settings, details and time series.
    """
    measured: dict[str, Any] = {
        'line': {},
        'settings': describe_settings(seed, duration_s),
        'details': {},
        'series': {},
    }
    idle = ResourceUsage()
    started_s = time.monotonic()
    for name in topology.DEPLOYMENTS:
        deployment_folder = folder / name
        deployment_folder.mkdir()
        deployment_run = DeploymentRun(name, seed, duration_s)
        results = deployment_run.run(deployment_folder)
        idle = deployment_run.idle
        for part, compute in (
            ('line', figures.compute_figures),
            ('details', figures.compute_details),
            ('series', figures.compute_series),
        ):
            measured[part][name] = figures.round_figures(
                compute(deployment_run, results)
            )
        sys.stderr.write(
            f'{name} done after {time.monotonic() - started_s:.0f} s\n'
        )
    measured['settings']['deployments_s'] = round(time.monotonic() - started_s)
    node, details = measure_node(folder / 'node', idle)
    measured['line']['node'] = figures.round_figures(node)
    measured['details']['node'] = figures.round_figures(details)
    measured['settings']['load_average_at_end'] = os.getloadavg()[0]
    return measured


def describe_settings(seed: int, duration_s: float) -> dict[str, Any]:
    """Return the settings that are reported with the figures."""
    return {
        'seed': seed,
        'duration_s': duration_s,
        'time_scale': 1,
        'idle_s': IDLE_MEASUREMENT_S,
        'usage_window_s': systems.USAGE_WINDOW_S,
        'usage_grace_s': systems.USAGE_GRACE_S,
        'zone_delay_s': systems.ZONE_DELAY_S,
        'caller_delay_s': systems.CALLER_DELAY_S,
        'cores': os.cpu_count(),
        # Shows whether other programs were using the machine.
        'load_average_at_start': os.getloadavg()[0],
    }


def main() -> None:
    """Run the measurement and write its results and report."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    duration_s = float(sys.argv[2]) if len(sys.argv) > 2 else DURATION_S
    with tempfile.TemporaryDirectory() as folder:
        measured = measure(seed, Path(folder), duration_s)
    LATEST_RESULTS.parent.mkdir(exist_ok=True)
    LATEST_RESULTS.write_text(f'{json.dumps(measured, indent=1)}\n', 'utf-8')
    write_report(measured)
    for row in list_missed_requirements(measured):
        sys.stderr.write(f'missed: {row}\n')
    sys.stdout.write(f'{json.dumps(measured["line"])}\n')


if __name__ == '__main__':
    main()
