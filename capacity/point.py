"""Runs a measurement at one size: ``python -m capacity.point NAME SIZE``."""

import json
import sys

from capacity.measurements import measurements
from capacity.subjects import import_measurement_modules


def main() -> None:
    """Print the measured quantities as JSON."""
    import_measurement_modules()
    found = measurements.get(sys.argv[1])
    assert found is not None
    sys.stdout.write(json.dumps(found.run_point(int(sys.argv[2]))))


if __name__ == '__main__':
    main()
