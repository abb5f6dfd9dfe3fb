"""Dispatcher for sub-second tasks: one truthful answer per accepted request."""

__all__ = ["__version__"]

__version__ = "0.1.0"
