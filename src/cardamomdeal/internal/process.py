"""Start and end of a process."""

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


def settings_path(program: str, description: str) -> str:
    """Read the one argument that every server process takes."""
    parser = argparse.ArgumentParser(prog=program, description=description)
    parser.add_argument('settings', help='settings file, JSON with comments')
    return parser.parse_args().settings


def run(program: str, main: Callable[[], None]) -> int:
    """Run a process; turn this project's errors into an exit code."""
    try:
        main()
    except errors.CardamomdealError as error:
        print(f'{program}: {error}', file=sys.stderr)
        return EXIT_USAGE
    except Exception:
        log.exception('process failed')
        return EXIT_FAILED
    return EXIT_OK


def on_hangup(act: Callable[[], None]) -> None:
    """Call `act` at each SIGHUP, in the main thread."""
    signal.signal(signal.SIGHUP, lambda *_: act())


def stop_event() -> threading.Event:
    """Return an event that SIGTERM and SIGINT set."""
    event = threading.Event()

    def handle(*_: object) -> None:
        event.set()

    signal.signal(signal.SIGTERM, handle)
    signal.signal(signal.SIGINT, handle)
    return event
