"""Tests of decisions: plain data in, plain data out."""
