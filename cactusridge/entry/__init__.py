"""The process that speaks to callers and operators."""
