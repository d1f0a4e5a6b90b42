"""Entry point of the directory process."""

import logging
import sys

from cheroot import wsgi
import pykka

from cardamomdeal.directory import address_resolver
from cardamomdeal.directory import application
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
    resolver_ref = address_resolver.AddressResolver.start(
        settings, clock.Clock()
    )
    try:
        server_task = serving.ServerTask(
            wsgi.Server(
                (settings.listen.host, settings.listen.port),
                application.Application(resolver_ref),
                numthreads=THREADS,
                max=THREADS,
            )
        )
        server_task.start()
        log.info('directory started', extra={'listen': str(settings.listen)})
        stop.wait()
        server_task.finish()
        log.info('directory stopped')
    finally:
        pykka.ActorRegistry.stop_all()
