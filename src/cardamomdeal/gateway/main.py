"""Gateway process."""

import logging
import sys
import threading

import pykka

from cardamomdeal.gateway import control
from cardamomdeal.gateway import dispatcher
from cardamomdeal.gateway import forwarding
from cardamomdeal.gateway import messages
from cardamomdeal.gateway import server
from cardamomdeal.internal import clock
from cardamomdeal.internal import process
from cardamomdeal.internal import serving
from cardamomdeal.settings import load
from cardamomdeal.settings import model
from cardamomdeal.telemetry import logs

PROGRAM = 'cardamomdeal-gateway'

log = logging.getLogger(__name__)


def main() -> None:
    """Run a gateway from the command line."""
    path = process.parse_settings_path(PROGRAM, 'Forward callers to backends.')
    sys.exit(process.run(PROGRAM, lambda: _run(load.load_gateway(path))))


def _run(settings: model.GatewaySettings) -> None:
    logs.configure(settings.name, settings.place, settings.telemetry.log_level)
    stop = process.stop_event()
    time = clock.Clock()
    dispatching = dispatcher.Dispatcher.start(settings, time)
    forwarder = forwarding.Forwarder(settings, dispatching, time)
    application = server.Application(forwarder)
    try:
        serving_task = serving.ServerTask(
            server.build_server(settings, application)
        )
        controlling = control.Control.start(
            settings, dispatching, stop.set, time
        )
        serving_task.start()
        log.info('gateway started', extra={'listen': str(settings.listen)})
        stop.wait()
        controlling.tell(messages.StopSoon())
        log.info('gateway stopping')
        _serve_kept_addresses(settings, application)
        serving_task.finish()
        log.info('gateway stopped')
    finally:
        pykka.ActorRegistry.stop_all()


def _serve_kept_addresses(
    settings: model.GatewaySettings, application: server.Application
) -> None:
    """Serve on until no caller may still hold this address."""
    application.leave()
    clock.wait_ms(threading.Event(), settings.notice_ms + settings.keep_for_ms)
