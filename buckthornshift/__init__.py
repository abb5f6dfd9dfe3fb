"""Dispatcher for sub-second tasks that gives each accepted job exactly one answer."""

__all__ = ["__version__"]

__version__ = "0.1.0"
