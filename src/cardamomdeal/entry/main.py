"""Program of an entry host."""

import logging
import os
import sys
import threading
from typing import Any

from cheroot import wsgi
import pykka

from cardamomdeal.entry import core
from cardamomdeal.entry import dispatcher
from cardamomdeal.entry import exposition
from cardamomdeal.entry import forwarding
from cardamomdeal.entry import messages
from cardamomdeal.entry import registrar
from cardamomdeal.entry import server
from cardamomdeal.entry import settings_watcher
from cardamomdeal.entry import store_follower
from cardamomdeal.fleet import model
from cardamomdeal.internal import address
from cardamomdeal.internal import clock
from cardamomdeal.internal import process
from cardamomdeal.internal import serving
from cardamomdeal.platform import applications
from cardamomdeal.platform import store
from cardamomdeal.settings import load
from cardamomdeal.settings import model as settings_model
from cardamomdeal.telemetry import logs

PROGRAM = 'cardamomdeal-entry'
STORE_TIMEOUT_MS = 800
SMALL_SERVER_THREADS = 2
# Callers keep an address a little longer than they were told; what they
# still send in this time is served before the listener closes.
SERVE_ON_SHARE = 0.6
# Left for ending the process after the last answer.
EXIT_MARGIN_MS = 700
# A process that is starved of its processor ends itself this long before it
# would be killed, whatever it is doing.
LAST_EXIT_MARGIN_MS = 250

log = logging.getLogger(__name__)


def main() -> None:
    """Run an entry host from the command line."""
    path = process.parse_settings_path(PROGRAM, 'Forward requests to servers.')
    sys.exit(process.run(PROGRAM, lambda: _run(path, load.load_entry(path))))


def _run(path: str, settings: settings_model.EntrySettings) -> None:
    log_writer = logs.configure_non_blocking(
        settings.name, settings.place, settings.telemetry.log_level
    )
    stop = process.stop_event()
    time = clock.Clock()
    started_ms = time.wall_ms()
    host = model.EntryHost(
        settings.name,
        started_ms,
        settings.place.region,
        settings.place.data_centre,
        settings.callers,
        settings.peers,
    )
    knowing = core.Core.start(settings, host, time)
    dispatching = dispatcher.Dispatcher.start(settings, knowing, time)
    following = store_follower.StoreFollower.start(
        knowing, store.StoreClient(settings.store, STORE_TIMEOUT_MS), time
    )
    registering = registrar.Registrar.start(
        host, store.StoreClient(settings.store, STORE_TIMEOUT_MS)
    )
    application = server.Application(
        forwarding.Forwarder(dispatching, time), time
    )
    callers = serving.ServerTask(server.build_server(settings, application))
    others = (
        _small_server(
            settings.readiness, applications.ReadinessApplication(knowing)
        ),
        _small_server(
            settings.directory, applications.DirectoryApplication(knowing)
        ),
        _small_server(
            settings.metrics, exposition.MetricsApplication(dispatching)
        ),
    )
    for task in (callers, *others):
        task.start()
    knowing.tell(
        messages.TasksStarted(dispatching, following, registering, application)
    )
    watching = settings_watcher.SettingsWatcher.start(
        path, settings, (knowing, dispatching, following, registering)
    )
    process.on_hangup(lambda: watching.tell(messages.ReloadSettings()))
    log.info('started', extra={'settings': str(settings)})
    stop.wait()
    log.info('stopping')
    _end_within(settings.bounds.stop_grace_ms - LAST_EXIT_MARGIN_MS)
    registering.tell(messages.Unregister())
    knowing.tell(messages.StopSoon())
    _serve_on(settings, application, callers)
    log.info('stopped')
    pykka.ActorRegistry.stop_all(block=False)
    log_writer.stop()
    # Calls to a store that does not answer would hold the exit up for
    # longer than the process is given.
    os._exit(process.EXIT_OK)


def _end_within(limit_ms: int) -> None:
    """End the process in time even if something holds its stop up."""
    ending = threading.Timer(limit_ms / 1000, os._exit, (process.EXIT_OK,))
    ending.daemon = True
    ending.start()


def _small_server(at: address.Address, application: Any) -> Any:
    return serving.ServerTask(
        wsgi.Server(
            (at.host, at.port),
            application,
            numthreads=SMALL_SERVER_THREADS,
            max=SMALL_SERVER_THREADS,
        )
    )


def _serve_on(
    settings: settings_model.EntrySettings,
    application: server.Application,
    callers: serving.ServerTask,
) -> None:
    """Serve callers that still hold this address, then end."""
    application.start_draining()
    grace_ms = settings.bounds.stop_grace_ms - EXIT_MARGIN_MS
    serve_on_ms = round(grace_ms * SERVE_ON_SHARE)
    clock.wait_ms(threading.Event(), serve_on_ms)
    ending = threading.Thread(target=callers.finish, daemon=True)
    ending.start()
    ending.join((grace_ms - serve_on_ms) / 1000)


if __name__ == '__main__':
    main()
