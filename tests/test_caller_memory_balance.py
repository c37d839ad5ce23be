"""The account of callers' memory, against what the connections themselves hold."""

from random import Random

import pytest

from cyclamenyoke.core.caller_memory import CallerMemory, MemoryHolder
from cyclamenyoke.core.units import KIBIBYTE, MEBIBYTE

SIZES = (1 * KIBIBYTE, 40 * KIBIBYTE, 70 * KIBIBYTE, 300 * KIBIBYTE, 2 * MEBIBYTE)


class RecordingHolder(MemoryHolder):
    """A connection that answers its refusals, and is closed when it is reset."""

    def __init__(self, memory, now):
        self.memory, self.now = memory, now
        self.waiting, self.handled, self.unsent = [], 0, 0
        self.is_reset = False

    def refuse_unserved(self):
        self.waiting.clear()
        self.memory.receive(self, 0, self.now[0])
        self.unsent += 200
        self.memory.set_unsent(self, self.unsent, self.now[0])

    def reset(self):
        self.is_reset = True


class Model:
    """Connections that use an account by chance."""

    def __init__(self, seed):
        self.random, self.now = Random(seed), [0.0]
        self.memory = CallerMemory(8 * MEBIBYTE)
        self.holders = []

    def step(self):
        random = self.random
        self.now[0] += random.choice((0.0, 0.01, 0.3))
        if random.random() < 0.05 or not self.holders:
            self.open()
        elif random.random() < 0.04:
            self.close(random.choice(self.holders))
        if self.holders:
            self.act(random.choice(self.holders))
        for holder in [each for each in self.holders if each.is_reset]:
            self.close(holder)

    def open(self):
        holder = RecordingHolder(self.memory, self.now)
        if self.memory.open(holder, self.now[0]):
            self.memory.expect(holder, self.random.random() < 0.7)
            self.holders.append(holder)

    def close(self, holder):
        self.holders.remove(holder)
        self.memory.close(holder)

    def act(self, holder):
        random, memory, now = self.random, self.memory, self.now[0]
        match random.randrange(8):
            case 0 | 1 | 2:
                memory.receive(holder, random.choice(SIZES), now)
            case 3:
                holder.waiting.append(memory.complete(holder))
            case 4 if holder.waiting and not holder.handled:
                holder.handled = holder.waiting.pop(0)
                memory.start(holder, holder.handled)
            case 5:
                memory.finish(holder)
                holder.handled = 0
            case 6:
                holder.unsent = random.choice((0, 1000, 200_000))
                memory.set_unsent(holder, holder.unsent, now)
            case 7:
                memory.set_unread(holder, random.choice((0, 32 * KIBIBYTE)))

    def check(self):
        shares = self.memory._shares
        assert self.memory.held == sum(each.total for each in shares.values())
        for share in shares.values():
            parts = share.incoming, share.waiting, share.running, share.unsent
            assert min(parts) >= 0
        # What is handled is never released by a refusal.
        assert all(shares[each].running == each.handled for each in self.holders)


# Guards against memory that stays counted, or is released twice.
@pytest.mark.parametrize("seed", range(20))
def test_account_of_callers_memory_equals_its_shares_and_ends_at_zero(seed):
    model = Model(seed)
    for _ in range(4000):
        model.step()
        model.check()
    for holder in list(model.holders):
        model.close(holder)
    assert model.memory.held == 0
