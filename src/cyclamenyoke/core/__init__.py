"""The decisions of cyclamenyoke, without I/O.

Every class here takes its state, an event and the present time, and returns
effects. Nothing in this package opens a socket, reads a clock or draws a random
number of its own.
"""
