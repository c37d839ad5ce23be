"""Clocks of the operating system."""

import time

from cyclamenyoke.ports.clock import Clock


class SystemClock(Clock):
    """Unix time in seconds, which advances while the VM is suspended."""

    def now(self) -> float:
        return time.time()


class BootClock(Clock):
    """Seconds since the VM booted.

    Advances while the VM is suspended and ignores adjustments of the wall clock.
    """

    def now(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)
