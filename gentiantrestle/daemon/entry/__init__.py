"""The HTTP side: callers, operators and probes."""
