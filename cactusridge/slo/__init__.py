"""Service-level objectives: measurements, error budgets and alerts."""
