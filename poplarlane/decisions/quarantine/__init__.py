"""Requests that crash the targets that run them: evidence, convictions and what follows."""
