"""Short soak runs with a fixed seed and with seeds that have failed."""

import pytest

from tests.planned_soak import run_planned_seed
from tests.soak import REGRESSION_SEEDS, run_seed

# Long enough for the drain of a process that is stopped in the middle.
PLANNED_DURATION_S = 8.0


@pytest.mark.parametrize('seed', [1, *REGRESSION_SEEDS])
def test_invariants_hold_under_random_faults(seed, tmp_path):
    # Guards against combinations of faults that no other test covers.
    violations, summary = run_seed(seed, tmp_path)
    assert violations == []
    assert summary.get('200', 0) > 0


def test_planned_work_that_overlaps_loses_no_request(tmp_path):
    # Guards against requests that are cut, and processes that are ended by the
    # default action of a signal, while only planned work goes on.
    violations, summary, _ = run_planned_seed(
        2, tmp_path, duration_s=PLANNED_DURATION_S
    )
    assert violations == []
    assert summary.get('200', 0) > 0
