"""Command line of buckthornshift."""

from ._main import main

__all__ = ["main"]
