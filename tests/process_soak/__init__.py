"""A soak of real processes: gateways, engines, the store and callers on loopback.

The run has real kernels, signals and scheduling, which the simulated runs do not have.
A seed gives the series of faults; what the kernel and the scheduler make of it differs
from run to run. The rules are checked only on what callers and engines recorded.

Run with ``PYTHONPATH=tests python -m process_soak --seed 1``.
"""
