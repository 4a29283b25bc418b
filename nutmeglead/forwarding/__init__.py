"""Forward callers' requests to servers: routes, server selection, retries and retry budgets."""
