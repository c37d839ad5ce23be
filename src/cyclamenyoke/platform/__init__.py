"""Clients and handlers for the users' platform: settings, store, engines and callers.

Names on the platform's wire are translated into types of this project in this package
and are not used anywhere else.
"""
