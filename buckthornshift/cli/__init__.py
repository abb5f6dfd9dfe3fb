"""The ``buckthornshift`` command line."""

from ._main import main

__all__ = ["main"]
