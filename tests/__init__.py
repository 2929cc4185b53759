"""Tests, laid out like the features."""
