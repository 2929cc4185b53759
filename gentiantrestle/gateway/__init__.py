"""Transparent gateway: forwards requests to upstreams and runs batch jobs."""
