"""Batch jobs of many items; each item gets exactly one result."""
