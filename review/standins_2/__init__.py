"""Stand-ins of the platform, of engines and of callers for the second review."""
