"""Short soak runs with a fixed seed and with seeds that have failed."""

import pytest

from tests.soak import REGRESSION_SEEDS, run_seed


@pytest.mark.parametrize('seed', [1, *REGRESSION_SEEDS])
def test_invariants_hold_under_random_faults(seed, tmp_path):
    # Guards against combinations of faults that no other test covers.
    violations, summary = run_seed(seed, tmp_path)
    assert violations == []
    assert summary.get('200', 0) > 0
