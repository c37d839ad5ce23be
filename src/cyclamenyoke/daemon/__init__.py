"""The daemon: its settings, its roles and their wiring."""
