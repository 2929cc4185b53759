"""Tests, laid out as the features are."""
