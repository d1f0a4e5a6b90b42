"""Entry point of the agent process."""

import logging
import sys

import pykka

from cardamomdeal.agent import agent
from cardamomdeal.agent import judge
from cardamomdeal.agent import messages
from cardamomdeal.agent import permit_store
from cardamomdeal.agent import store_reader
from cardamomdeal.internal import clock
from cardamomdeal.internal import process
from cardamomdeal.platform import key_value
from cardamomdeal.protocol import messages as protocol
from cardamomdeal.settings import load
from cardamomdeal.settings import model
from cardamomdeal.telemetry import logs

PROGRAM = 'cardamomdeal-agent'
STORE_TIMEOUT_MS = 2_000

log = logging.getLogger(__name__)


def main() -> None:
    """Run an agent from the command line."""
    path = process.parse_settings_path(PROGRAM, 'Run the agent of a host.')
    sys.exit(process.run(PROGRAM, lambda: _run(load.load_agent(path))))


def _run(settings: model.AgentSettings) -> None:
    logs.configure(settings.name, settings.place, settings.telemetry.log_level)
    stop = process.stop_event()
    time = clock.Clock()
    try:
        incarnation = protocol.Incarnation(settings.name, time.wall_ms())
        agent_ref = agent.Agent.start(settings, incarnation, time)
        judge_ref = judge.Judge.start(settings, incarnation, agent_ref, time)
        permit_store_ref = permit_store.PermitStore.start(
            settings.environment,
            incarnation,
            judge_ref,
            key_value.KeyValueClient(settings.platform, STORE_TIMEOUT_MS),
        )
        judge_ref.tell(messages.PermitStoreStarted(permit_store_ref))
        agent_ref.tell(messages.JudgeStarted(judge_ref))
        store_reader_ref = store_reader.StoreReader.start(
            settings,
            agent_ref,
            key_value.KeyValueClient(settings.platform, STORE_TIMEOUT_MS),
            time,
        )
        agent_ref.tell(messages.StoreReaderStarted(store_reader_ref))
        log.info('agent started', extra={'listen': str(settings.listen)})
        stop.wait()
        log.info('agent stopped')
    finally:
        pykka.ActorRegistry.stop_all()
