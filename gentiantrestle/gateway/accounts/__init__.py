"""Client accounts: who asks, with which key, and how much each may ask."""
