"""Ends what a scenario started, whether it passed or failed."""

from contextlib import ExitStack


def before_scenario(context, _scenario):
    """Give each scenario a stack of resources to close."""
    context.resources = ExitStack()


def after_scenario(context, _scenario):
    """Close the scenario's resources."""
    context.resources.close()
