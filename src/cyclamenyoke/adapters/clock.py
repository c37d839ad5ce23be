"""The system's clock."""

import time

from cyclamenyoke.ports.clock import Clock


class SystemClock(Clock):
    """Wall-clock time, which goes on while a VM is suspended."""

    def now(self) -> float:
        return time.time()
