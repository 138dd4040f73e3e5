"""Evaluation of decision variants from the reports and logs of played days."""
