"""Contract tests of each interface."""
