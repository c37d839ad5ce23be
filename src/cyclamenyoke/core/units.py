"""Named constants with their units."""

MILLISECOND = 0.001
"""One millisecond in seconds."""

SECOND = 1.0
"""One second in seconds."""

MINUTE = 60.0
"""One minute in seconds."""

HOUR = 3600.0
"""One hour in seconds."""

KIBIBYTE = 1024
"""One kibibyte in bytes."""

MEBIBYTE = 1024 * 1024
"""One mebibyte in bytes."""
