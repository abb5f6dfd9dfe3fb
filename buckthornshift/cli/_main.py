"""Entry point: commands are loaded when they are used, to keep processes lean."""

import importlib

import click

from .. import __version__

_MODULE_BY_COMMAND = {
    "serve": "_serve",
    "dispatch": "_dispatch",
    "submit": "_jobs",
    "cancel": "_jobs",
    "state": "_jobs",
    "catalogue": "_catalogue",
    "standin": "_standin",
    "demo": "_demo",
    "fuzz": "_fuzz",
    "soak": "_soak",
    "load": "_load",
}


class LazyGroup(click.Group):
    """A group whose commands are imported on first use."""

    def list_commands(self, ctx):
        """Return the names of the commands."""
        return list(_MODULE_BY_COMMAND)

    def get_command(self, ctx, cmd_name):
        """Import and return a command, or ``None``."""
        module_name = _MODULE_BY_COMMAND.get(cmd_name)
        if module_name is None:
            return None
        module = importlib.import_module(f".{module_name}", __package__)
        return getattr(module, cmd_name)


@click.command(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="buckthornshift")
def main():
    """Dispatch sub-second tasks: one truthful answer per accepted request.

    Start with `buckthornshift demo`. For completion in bash, run
    `eval "$(_BUCKTHORNSHIFT_COMPLETE=bash_source buckthornshift)"`.
    """
