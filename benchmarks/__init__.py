"""Measurements on stand-ins; every figure is a ratio within one run."""
