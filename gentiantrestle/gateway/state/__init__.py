"""What an instance believes, and how new that is."""
