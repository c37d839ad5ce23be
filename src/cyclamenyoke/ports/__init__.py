"""What the daemons need from outside, as abstract base classes."""
