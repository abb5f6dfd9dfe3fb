"""Run a dispatching process: read its settings, handle signals, shut down."""

import asyncio
import signal
import sys

from ..contracts import InvalidInputError
from ..documents import read_text
from ._process import DispatcherProcess
from ._settings import find_settings_path, parse_serving_settings

EXIT_INVALID_SETTINGS = 2


def run(path=None):
    """Run an instance until it is stopped, and return the exit status.

    SIGTERM and SIGINT start a graceful shutdown; SIGHUP reloads the settings.

    :param path: path of the settings file; ``None`` for that in the environment
        variable ``BUCKTHORNSHIFT_CONFIG``.
    """
    try:
        path = find_settings_path(path)
        settings = _read_settings(path)
    except InvalidInputError as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    asyncio.run(_serve(settings, path))
    return 0


def _read_settings(path):
    return parse_serving_settings(read_text(path), path)


async def _serve(settings, path):
    process = DispatcherProcess(settings=settings)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, process.stop)
    loop.add_signal_handler(signal.SIGHUP, process.reload, lambda: _read_settings(path))
    await process.start()
    await process.wait()
