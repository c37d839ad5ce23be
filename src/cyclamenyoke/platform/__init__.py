"""What speaks with the users' platform: its settings file, store, engines, callers.

Wire names are decoded here, once, into types of the project, and appear nowhere else.
"""
