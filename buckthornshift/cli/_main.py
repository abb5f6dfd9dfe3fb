"""Entry point; imports only the module of the command that is run to save memory."""

import importlib

import click

from .. import __version__

_MODULE_BY_COMMAND = {
    "serve": "_serve",
    "dispatch": "_dispatch",
    "submit": "_jobs",
    "cancel": "_jobs",
    "state": "_jobs",
    "explain": "_explain",
    "catalogue": "_catalogue",
    "standin": "_standin",
    "demo": "_demo",
    "fuzz": "_fuzz",
    "soak": "_soak",
    "evacuation": "_evacuation",
    "load": "_load",
}


class LazyGroup(click.Group):
    """Command group that imports the module of a command on first use."""

    def list_commands(self, ctx):
        """Return the command names in the order that the help shows."""
        return list(_MODULE_BY_COMMAND)

    def get_command(self, ctx, cmd_name):
        """Import and return a command, or ``None`` if the name is unknown."""
        module_name = _MODULE_BY_COMMAND.get(cmd_name)
        if module_name is None:
            return None
        module = importlib.import_module(f".{module_name}", __package__)
        return getattr(module, cmd_name)


@click.command(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="buckthornshift")
def main():
    """Dispatch sub-second tasks; every accepted request gets one correct answer.

    Start with `buckthornshift demo`. To enable completion in bash, run
    `eval "$(_BUCKTHORNSHIFT_COMPLETE=bash_source buckthornshift)"`.
    """
