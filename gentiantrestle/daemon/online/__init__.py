"""Online requests: requests whose caller waits for the answer."""
