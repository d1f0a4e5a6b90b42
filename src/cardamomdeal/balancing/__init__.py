"""Load balancing: server selection, failure detection and retry budgets."""
