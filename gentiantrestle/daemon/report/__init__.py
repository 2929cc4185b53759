"""Burn rates of the service-level objectives' error budgets."""
