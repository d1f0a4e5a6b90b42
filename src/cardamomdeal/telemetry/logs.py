"""Structured logs as JSON lines."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

from cardamomdeal.settings import model


def configure(process: str, place: model.Place, level: str) -> None:
    """Write every log record of this process as one JSON line."""
    handler = logging.StreamHandler(sys.stderr)
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
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
