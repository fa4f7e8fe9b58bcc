"""Sets up generated cases, and ends what a scenario started, whether it passed or failed."""

from contextlib import ExitStack

from hypothesis import HealthCheck, settings

# Every run generates the same cases. Limits on the time of a case or of its generation would make
# the verdict depend on how busy the machine is.
settings.register_profile(
    "suite",
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("suite")


def before_scenario(context, _scenario):
    """Give each scenario a stack of resources to close."""
    context.resources = ExitStack()


def after_scenario(context, _scenario):
    """Close the scenario's resources."""
    context.resources.close()
