"""Settings that hold for all tests."""

from hypothesis import HealthCheck, settings

# The same examples in every run, and no verdict that depends on how busy the
# machine is. Seeds for longer searches are given on the command line.
settings.register_profile(
    'peridotrill',
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile('peridotrill')
