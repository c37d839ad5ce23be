"""The daemons: their settings, their roles and the wiring of their parts."""
