"""Forward callers' requests to servers: routes, selection, budget and retries."""
