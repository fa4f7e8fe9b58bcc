"""What is delayed or refused when a service has too few free slots."""
