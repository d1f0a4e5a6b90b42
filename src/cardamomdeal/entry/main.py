"""Main program of an entry host."""

import logging
import os
import sys
import threading
from typing import Any

import pykka

from cardamomdeal.entry import dispatcher
from cardamomdeal.entry import exposition
from cardamomdeal.entry import fleet_synchronizer
from cardamomdeal.entry import forwarding
from cardamomdeal.entry import messages
from cardamomdeal.entry import registrar
from cardamomdeal.entry import server
from cardamomdeal.entry import settings_watcher
from cardamomdeal.entry import store_follower
from cardamomdeal.fleet import model
from cardamomdeal.internal import address
from cardamomdeal.internal import allocator
from cardamomdeal.internal import clock
from cardamomdeal.internal import polled_server
from cardamomdeal.internal import process
from cardamomdeal.internal import scheduler
from cardamomdeal.internal import serving
from cardamomdeal.internal import thread_pool
from cardamomdeal.platform import applications
from cardamomdeal.platform import store
from cardamomdeal.settings import load
from cardamomdeal.settings import model as settings_model
from cardamomdeal.telemetry import logs

PROGRAM = 'cardamomdeal-entry'
STORE_TIMEOUT_MS = 800
# Shared by the servers for readiness, addresses and metrics; busy callers
# must not delay them.
AUXILIARY_THREADS = thread_pool.PoolSettings(
    'auxiliary', max_threads=16, max_queued=256
)
# Interval at which an auxiliary server closes its idle connections.
AUXILIARY_SERVER_EXPIRY_S = 5.0
# Share of the stop time in which new requests are still served: callers use
# an address for a little longer than they are allowed to. Those taken last
# need as much time again.
DRAIN_SHARE = 0.53
# Time reserved for ending the process after the last response.
EXIT_MARGIN_MS = 700
# A process that gets too little CPU time exits this long before it would be
# killed, whatever it is doing.
FORCED_EXIT_MARGIN_MS = 250

log = logging.getLogger(__name__)


def main() -> None:
    """Run an entry host from the command line."""
    path = process.parse_settings_path(
        PROGRAM, 'Forward HTTP requests to backend servers.'
    )
    sys.exit(process.run(PROGRAM, lambda: _run(path, load.load_entry(path))))


def _run(path: str, settings: settings_model.EntrySettings) -> None:
    """Serve, write the remaining log and exit, also after a failed start."""
    log_writer = logs.configure_non_blocking(
        settings.name, settings.place, settings.telemetry.log_level
    )
    allocator.limit_kept_memory()
    exit_code = process.run(PROGRAM, lambda: _serve(path, settings))
    pykka.ActorRegistry.stop_all(block=False)
    _exit_within(EXIT_MARGIN_MS, exit_code)
    log_writer.stop()
    # A regular exit would wait for the actors and their pending calls to a
    # store that does not respond.
    os._exit(exit_code)


def _serve(path: str, settings: settings_model.EntrySettings) -> None:
    """Start all tasks and serve until the process is told to stop."""
    stop_event = process.stop_event()
    time = clock.Clock()
    started_ms = time.wall_ms()
    timers = scheduler.Scheduler(time)
    timers.start()
    host = model.EntryHost(
        settings.name,
        started_ms,
        settings.place.region,
        settings.place.data_centre,
        settings.callers,
        settings.peers,
        settings.link_mbps,
    )
    synchronizer_ref = fleet_synchronizer.FleetSynchronizer.start(
        settings, host, time, timers
    )
    dispatcher_ref = dispatcher.Dispatcher.start(
        settings, synchronizer_ref, time, timers
    )
    follower_ref = store_follower.StoreFollower.start(
        synchronizer_ref,
        store.StoreClient(settings.store, STORE_TIMEOUT_MS),
        time,
    )
    registrar_ref = registrar.Registrar.start(
        host, store.StoreClient(settings.store, STORE_TIMEOUT_MS), timers
    )
    application = server.Application(
        forwarding.Forwarder(dispatcher_ref, time), time
    )
    callers = serving.ServerTask(server.build_server(settings, application))
    auxiliary_threads = thread_pool.ElasticThreadPool(AUXILIARY_THREADS)
    auxiliary_servers = [
        _auxiliary_server(listen, auxiliary_application, auxiliary_threads)
        for listen, auxiliary_application in (
            (
                settings.readiness,
                applications.ReadinessApplication(synchronizer_ref),
            ),
            (
                settings.directory,
                applications.DirectoryApplication(synchronizer_ref),
            ),
            (
                settings.metrics,
                exposition.MetricsApplication(dispatcher_ref),
            ),
        )
    ]
    for task in (callers, *auxiliary_servers):
        task.start()
    synchronizer_ref.tell(
        messages.TasksStarted(
            dispatcher_ref, follower_ref, registrar_ref, application
        )
    )
    watcher_ref = settings_watcher.SettingsWatcher.start(
        path,
        settings,
        (synchronizer_ref, dispatcher_ref, follower_ref, registrar_ref),
        timers,
    )
    process.on_hangup(lambda: watcher_ref.tell(messages.ReloadSettings()))
    log.info('entry host started', extra={'settings': str(settings)})
    stop_event.wait()
    log.info('entry host stopping')
    _exit_within(
        settings.bounds.stop_grace_ms - FORCED_EXIT_MARGIN_MS, process.EXIT_OK
    )
    synchronizer_ref.tell(messages.PrepareStop())
    registrar_ref.tell(messages.Unregister())
    _drain_callers(settings, application, callers, dispatcher_ref)
    log.info('entry host stopped')


def _exit_within(limit_ms: int, exit_code: int) -> None:
    """Exit the process after the limit even if its shutdown is blocked."""
    timer = threading.Timer(limit_ms / 1000, os._exit, (exit_code,))
    timer.daemon = True
    timer.start()


def _auxiliary_server(
    listen: address.Address,
    application: Any,
    threads: thread_pool.ElasticThreadPool,
) -> serving.ServerTask:
    server = polled_server.PolledServer(listen, application, threads)
    server.expiration_interval = AUXILIARY_SERVER_EXPIRY_S
    return serving.ServerTask(server)


def _drain_callers(
    settings: settings_model.EntrySettings,
    application: server.Application,
    callers: serving.ServerTask,
    dispatcher_ref: pykka.ActorRef[Any],
) -> None:
    """Serve callers that still use this address, then stop the server."""
    application.disable_keep_alive()
    grace_ms = settings.bounds.stop_grace_ms - EXIT_MARGIN_MS
    drain_ms = round(grace_ms * DRAIN_SHARE)
    clock.wait_ms(threading.Event(), drain_ms)
    # Requests also arrive on connections that a thread is serving, and the
    # server notices only after a while that it is to stop.
    dispatcher_ref.tell(messages.StopAdmitting())
    thread = threading.Thread(target=callers.finish, daemon=True)
    thread.start()
    thread.join((grace_ms - drain_ms) / 1000)


if __name__ == '__main__':
    main()
