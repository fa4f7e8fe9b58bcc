"""Retries and hedges, and their budgets."""
