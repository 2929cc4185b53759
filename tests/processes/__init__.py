"""Tests with real processes that are killed, frozen and cut off."""
