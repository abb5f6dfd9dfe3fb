"""The life of a dispatching process: settings, signals, graceful stop."""

import asyncio
import signal
import sys

from ..contracts import InvalidInputError
from ..documents import read_text
from ._process import DispatcherProcess
from ._settings import find_settings_path, parse_serving_settings

EXIT_BAD_SETTINGS = 2


def run(path=None):
    """Run an instance until it is stopped; return the exit status.

    :param path: path of the settings file; ``None`` for the environment's.
    """
    try:
        path = find_settings_path(path)
        settings = parse_serving_settings(read_text(path), path)
    except InvalidInputError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    asyncio.run(_serve(settings))
    return 0


async def _serve(settings):
    process = DispatcherProcess(settings=settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, process.stop)
    loop.add_signal_handler(signal.SIGHUP, process.on_reload_signal)
    await process.start()
    await process.wait()
