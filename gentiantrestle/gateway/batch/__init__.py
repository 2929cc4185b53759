"""Batch jobs of the gateway: accepting, running and reading them."""
