"""Which instances are alive, and what each of them knows."""
