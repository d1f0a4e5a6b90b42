"""Entry point of the administration API process."""

import logging
import sys

from cheroot import wsgi
import pykka

from cardamomdeal.admin import agent_client
from cardamomdeal.admin import application
from cardamomdeal.admin import changes
from cardamomdeal.admin import configuration_store
from cardamomdeal.admin import operations
from cardamomdeal.internal import clock
from cardamomdeal.internal import process
from cardamomdeal.internal import serving
from cardamomdeal.platform import key_value
from cardamomdeal.settings import load
from cardamomdeal.settings import model
from cardamomdeal.telemetry import logs

PROGRAM = 'cardamomdeal-admin'
THREADS = 4
STORE_CALL_TIMEOUT_MS = 1_000

log = logging.getLogger(__name__)


def main() -> None:
    """Run the administration API from the command line."""
    path = process.parse_settings_path(
        PROGRAM, 'Serve the administration API.'
    )
    sys.exit(process.run(PROGRAM, lambda: _run(load.load_admin(path))))


def _run(settings: model.AdminSettings) -> None:
    logs.configure(settings.name, settings.place, settings.telemetry.log_level)
    stop = process.stop_event()
    time = clock.Clock()
    platform = key_value.KeyValueClient(
        settings.platform, STORE_CALL_TIMEOUT_MS
    )
    writer = changes.ChangeWriter(platform, settings.store_timeout_ms, time)
    api_operations = operations.Operations(
        settings,
        configuration_store.ConfigurationStore.start(writer),
        agent_client.AgentClient.start(settings, time),
    )
    try:
        server = wsgi.Server(
            (settings.listen.host, settings.listen.port),
            application.Application(api_operations),
            numthreads=THREADS,
            max=THREADS,
        )
        server.max_request_body_size = application.MAX_BODY_BYTES
        server_task = serving.ServerTask(server)
        server_task.start()
        log.info(
            'administration API started',
            extra={'listen': str(settings.listen)},
        )
        stop.wait()
        server_task.finish()
        log.info('administration API stopped')
    finally:
        pykka.ActorRegistry.stop_all()
