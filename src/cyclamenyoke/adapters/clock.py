"""The system's clocks."""

import time

from cyclamenyoke.ports.clock import Clock


class SystemClock(Clock):
    """Wall-clock time, which goes on while a VM is suspended."""

    def now(self) -> float:
        return time.time()


class BootClock(Clock):
    """Seconds since the VM was started.

    Goes on while the VM is suspended, and does not follow jumps of the time of day.
    """

    def now(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)
