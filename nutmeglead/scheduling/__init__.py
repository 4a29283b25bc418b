"""Decide which server gets a request, and when, while servers are under load."""
