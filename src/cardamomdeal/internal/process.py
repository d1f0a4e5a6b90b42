"""Command line, signals and exit codes of the server processes."""

import argparse
from collections.abc import Callable
import logging
import signal
import sys
import threading

from cardamomdeal.internal import errors

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2

log = logging.getLogger(__name__)


def parse_settings_path(program: str, description: str) -> str:
    """Parse the command line and return the path of the settings file."""
    parser = argparse.ArgumentParser(prog=program, description=description)
    parser.add_argument('settings', help='settings file, JSON with comments')
    return parser.parse_args().settings


def run(program: str, main: Callable[[], None]) -> int:
    """Run `main`; report exceptions and return the exit code."""
    try:
        main()
    except errors.CardamomdealError as error:
        print(f'{program}: {error}', file=sys.stderr)
        return EXIT_USAGE
    except Exception:
        log.exception('process stopped by an unexpected exception')
        return EXIT_FAILED
    return EXIT_OK


def on_hangup(callback: Callable[[], None]) -> None:
    """Call `callback` in the main thread on each SIGHUP."""
    signal.signal(signal.SIGHUP, lambda *_: callback())


def stop_event() -> threading.Event:
    """Return an event that is set on SIGTERM or SIGINT."""
    event = threading.Event()

    def handle(*_: object) -> None:
        event.set()

    signal.signal(signal.SIGTERM, handle)
    signal.signal(signal.SIGINT, handle)
    return event
