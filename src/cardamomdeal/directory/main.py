"""Directory process."""

import logging
import sys

from cheroot import wsgi
import pykka

from cardamomdeal.directory import application
from cardamomdeal.directory import lookup
from cardamomdeal.internal import clock
from cardamomdeal.internal import process
from cardamomdeal.internal import serving
from cardamomdeal.settings import load
from cardamomdeal.settings import model
from cardamomdeal.telemetry import logs

PROGRAM = 'cardamomdeal-directory'
THREADS = 4

log = logging.getLogger(__name__)


def main() -> None:
    """Run a directory from the command line."""
    path = process.parse_settings_path(
        PROGRAM, 'Serve gateway addresses to callers.'
    )
    sys.exit(process.run(PROGRAM, lambda: _run(load.load_directory(path))))


def _run(settings: model.DirectorySettings) -> None:
    logs.configure(settings.name, settings.place, settings.telemetry.log_level)
    stop = process.stop_event()
    lookup_ref = lookup.Lookup.start(settings, clock.Clock())
    try:
        serving_task = serving.ServerTask(
            wsgi.Server(
                (settings.listen.host, settings.listen.port),
                application.Application(lookup_ref),
                numthreads=THREADS,
                max=THREADS,
            )
        )
        serving_task.start()
        log.info('directory started', extra={'listen': str(settings.listen)})
        stop.wait()
        serving_task.finish()
        log.info('directory stopped')
    finally:
        pykka.ActorRegistry.stop_all()
