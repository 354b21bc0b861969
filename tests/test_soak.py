"""A short soak with a fixed seed, and the seeds that failed once."""

import pytest

from tests.soak import REGRESSION_SEEDS, play


@pytest.mark.parametrize('seed', [1, *REGRESSION_SEEDS])
def test_promises_hold_under_random_faults(seed, tmp_path):
    # Guards against combinations of faults that no single test plays.
    broken, summary = play(seed, tmp_path)
    assert broken == []
    assert summary.get('200', 0) > 0
