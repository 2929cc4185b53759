"""Stand-ins for the stores, engines, services and upstreams."""
