"""Input and output: HTTP, TCP, UDP, pynng, YAML files, logs and metrics."""
