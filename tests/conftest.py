"""Settings for all tests."""

from hypothesis import HealthCheck, settings

# Uses the same examples in every run, and no deadlines or health checks that
# depend on the load of the machine. Seeds for longer searches are given on
# the command line.
settings.register_profile(
    'peridotrill',
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile('peridotrill')
