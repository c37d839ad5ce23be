"""A load balancer for groups of expert-parallel model engines."""

__version__ = "0.1.0"
