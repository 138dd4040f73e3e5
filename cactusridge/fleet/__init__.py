"""The known replicas of each service and their process incarnations."""
