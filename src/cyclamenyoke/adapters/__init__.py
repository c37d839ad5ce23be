"""The edge: HTTP, TCP, pynng, the platform's services, YAML, logs and metrics."""
