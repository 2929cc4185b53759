"""Small stand-ins for the platform, the engines and a plain service."""
