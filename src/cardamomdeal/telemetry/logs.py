"""Structured logs as JSON lines."""

import logging
from logging import handlers
import queue
import sys
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

from cardamomdeal.settings import model

# Lines that wait for a slow reader of the log; beyond them lines are
# dropped and counted, since a request must not wait for its log.
MAX_WAITING_LINES = 10_000


class _BoundedHandler(handlers.QueueHandler):
    """Hand records to the writing thread, or drop and count them."""

    dropped = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        # The library would format the record here, in the caller's time.
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            _BoundedHandler.dropped += 1


class LogWriter:
    """Write waiting log lines until it is stopped."""

    def __init__(self, listener: handlers.QueueListener) -> None:
        self._listener = listener

    def stop(self) -> None:
        """Write what is waiting and end."""
        self._listener.stop()


def dropped_lines() -> int:
    """Return how many lines were dropped since the start."""
    return _BoundedHandler.dropped


def configure_bounded(
    process: str, place: model.Place, level: str
) -> LogWriter:
    """Write JSON lines to standard output from a thread of its own."""
    handler = _json_handler(sys.stdout, process, place)
    waiting: queue.Queue[logging.LogRecord] = queue.Queue(MAX_WAITING_LINES)
    listener = handlers.QueueListener(waiting, handler)
    listener.start()
    root = logging.getLogger()
    root.handlers = [_BoundedHandler(waiting)]
    root.setLevel(level)
    return LogWriter(listener)


def configure(process: str, place: model.Place, level: str) -> None:
    """Write every log record of this process as one JSON line."""
    root = logging.getLogger()
    root.handlers = [_json_handler(sys.stderr, process, place)]
    root.setLevel(level)


def _json_handler(
    stream: TextIO, process: str, place: model.Place
) -> logging.Handler:
    handler = logging.StreamHandler(stream)
    handler.setFormatter(
        JsonFormatter(
            '%(asctime)s %(levelname)s %(name)s %(message)s',
            rename_fields={'asctime': 'time', 'levelname': 'level'},
            static_fields={
                'process': process,
                'host': place.host,
                'data_centre': place.data_centre,
            },
        )
    )
    return handler
