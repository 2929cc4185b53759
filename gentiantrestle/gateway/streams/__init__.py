"""Which software version of an upstream began which stream."""
