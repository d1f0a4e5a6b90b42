"""Entry point of the directory process."""

import logging
import sys

import pykka

from cardamomdeal.directory import address_resolver
from cardamomdeal.directory import application
from cardamomdeal.internal import allocator
from cardamomdeal.internal import clock
from cardamomdeal.internal import polled_server
from cardamomdeal.internal import process
from cardamomdeal.internal import serving
from cardamomdeal.internal import thread_pool
from cardamomdeal.settings import load
from cardamomdeal.settings import model
from cardamomdeal.telemetry import logs

PROGRAM = 'cardamomdeal-directory'
THREADS = thread_pool.PoolSettings('lookups', max_threads=4, max_queued=256)
MAX_UNACCEPTED_CONNECTIONS = 256

log = logging.getLogger(__name__)


def main() -> None:
    """Run a directory from the command line."""
    path = process.parse_settings_path(
        PROGRAM, 'Serve gateway addresses to callers.'
    )
    sys.exit(process.run(PROGRAM, lambda: _run(load.load_directory(path))))


def _run(settings: model.DirectorySettings) -> None:
    logs.configure(settings.name, settings.place, settings.telemetry.log_level)
    allocator.limit_kept_memory()
    stop = process.stop_event()
    resolver_ref = address_resolver.AddressResolver.start(
        settings, clock.Clock()
    )
    try:
        server_task = serving.ServerTask(
            polled_server.PolledServer(
                settings.listen,
                application.Application(resolver_ref),
                thread_pool.ElasticThreadPool(THREADS),
                request_queue_size=MAX_UNACCEPTED_CONNECTIONS,
            )
        )
        server_task.start()
        log.info('directory started', extra={'listen': str(settings.listen)})
        stop.wait()
        server_task.finish()
        log.info('directory stopped')
    finally:
        pykka.ActorRegistry.stop_all()
