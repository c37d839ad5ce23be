"""Stand-ins for the platform and the endpoints, for the demo and the tests."""
