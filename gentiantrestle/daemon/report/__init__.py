"""How fast the service-level objectives' budgets burn."""
