"""Holds requests back that crash the replicas that run them."""
