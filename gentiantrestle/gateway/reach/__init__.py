"""Which upstreams this instance reaches, and what its failures tell."""
