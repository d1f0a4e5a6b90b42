"""Structured logging as JSON lines."""

import logging
from logging import handlers
import queue
import sys
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

from cardamomdeal.settings import model

# Limit of the queue to the writer thread. If output is too slow and the
# queue fills up, records are dropped and counted, so that logging never
# delays a request.
MAX_QUEUED_RECORDS = 10_000


class _NonBlockingHandler(handlers.QueueHandler):
    """Queue handler that drops and counts records if the queue is full."""

    dropped_count = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        # The base class formats the record here, in the logging thread;
        # formatting is left to the writer thread.
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            _NonBlockingHandler.dropped_count += 1


class LogWriter:
    """Background thread that writes queued log records."""

    def __init__(self, listener: handlers.QueueListener) -> None:
        self._listener = listener

    def stop(self) -> None:
        """Write all queued records and end the thread."""
        self._listener.stop()


def dropped_record_count() -> int:
    """Return the number of records dropped since the process started."""
    return _NonBlockingHandler.dropped_count


def configure_non_blocking(
    process: str, place: model.Place, level: str
) -> LogWriter:
    """Log JSON lines to standard output from a separate thread."""
    handler = _json_handler(sys.stdout, process, place)
    record_queue: queue.Queue[logging.LogRecord] = queue.Queue(
        MAX_QUEUED_RECORDS
    )
    listener = handlers.QueueListener(record_queue, handler)
    listener.start()
    root = logging.getLogger()
    root.handlers = [_NonBlockingHandler(record_queue)]
    root.setLevel(level)
    return LogWriter(listener)


def configure(process: str, place: model.Place, level: str) -> None:
    """Log JSON lines to standard error from the logging thread."""
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
