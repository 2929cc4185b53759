"""Measurements on stand-ins; compare figures within one run only."""
