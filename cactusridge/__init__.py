"""A serving system for online and batch inference on a shared fleet."""

__version__ = '0.1.0'
