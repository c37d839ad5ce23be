"""Checks that the stand-ins can be loaded."""

from standins_2 import callers, deployment, drafts, ranks, store, wire

LOADED = (callers, deployment, drafts, ranks, store, wire)

print("stand-ins:", *(each.__name__ for each in LOADED))
