"""Entry point of the gateway process."""

import logging
import sys
import threading

import pykka

from cardamomdeal.gateway import agent_client
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
    path = process.parse_settings_path(
        PROGRAM, 'Forward requests of callers to backend servers.'
    )
    sys.exit(process.run(PROGRAM, lambda: _run(load.load_gateway(path))))


def _run(settings: model.GatewaySettings) -> None:
    logs.configure(settings.name, settings.place, settings.telemetry.log_level)
    stop = process.stop_event()
    time = clock.Clock()
    dispatcher_ref = dispatcher.Dispatcher.start(settings, time)
    forwarder = forwarding.Forwarder(settings, dispatcher_ref, time)
    application = server.Application(forwarder)
    try:
        server_task = serving.ServerTask(
            server.build_server(settings, application)
        )
        agent_client_ref = agent_client.AgentClient.start(
            settings, dispatcher_ref, stop.set, time
        )
        server_task.start()
        log.info('gateway started', extra={'listen': str(settings.listen)})
        stop.wait()
        agent_client_ref.tell(messages.PrepareStop())
        log.info('gateway stopping')
        _serve_until_addresses_expire(settings, application)
        server_task.finish()
        log.info('gateway stopped')
    finally:
        pykka.ActorRegistry.stop_all()


def _serve_until_addresses_expire(
    settings: model.GatewaySettings, application: server.Application
) -> None:
    """Serve until no caller may still have this address cached."""
    application.disable_keep_alive()
    clock.wait_ms(threading.Event(), settings.notice_ms + settings.keep_for_ms)
