"""Batch jobs of the gateway: accepted once, run anywhere, listed in order."""
