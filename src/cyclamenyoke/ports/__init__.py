"""Abstract base classes for everything the daemons need from outside the process."""
