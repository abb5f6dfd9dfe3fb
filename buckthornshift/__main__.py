"""Run the command line with ``python -m buckthornshift``."""

from .cli import main

if __name__ == "__main__":
    main()
