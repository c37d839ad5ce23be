"""The logic of cyclamenyoke, without I/O.

The classes are state machines: a method takes an event and the present time and
returns effects for the caller to carry out. Nothing in this package opens a socket
or reads a clock, and random numbers come from a generator that is passed in.
"""
