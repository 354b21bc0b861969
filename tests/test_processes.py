"""The helpers that start programs for the tests."""

import subprocess
import sys

from tests.processes import PORTS_PER_RUN, ROOT, free_port

CODE = 'from tests.processes import free_port; print(free_port())'


def test_runs_beside_each_other_use_different_ports():
    # Guards against a port that another run takes before it is bound.
    ports = [free_port()]
    for _ in range(3):
        result = subprocess.run(
            [sys.executable, '-c', CODE],
            cwd=ROOT,
            capture_output=True,
            check=True,
        )
        ports.append(int(result.stdout))
    blocks = {port // PORTS_PER_RUN for port in ports[1:]}
    assert ports[0] // PORTS_PER_RUN not in blocks
