"""What decisions are worth on the users' days, from their reports and logs."""
