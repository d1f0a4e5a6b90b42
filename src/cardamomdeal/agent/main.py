"""Agent process."""

import logging
import sys

import pykka

from cardamomdeal.agent import core
from cardamomdeal.agent import judge
from cardamomdeal.agent import messages
from cardamomdeal.agent import permit_keeper
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
        core_ref = core.Core.start(settings, incarnation, time)
        judge_ref = judge.Judge.start(settings, incarnation, core_ref, time)
        keeper_ref = permit_keeper.PermitKeeper.start(
            settings.environment,
            incarnation,
            judge_ref,
            key_value.KeyValueClient(settings.platform, STORE_TIMEOUT_MS),
        )
        judge_ref.tell(messages.KeeperStarted(keeper_ref))
        core_ref.tell(messages.JudgeStarted(judge_ref))
        reader_ref = store_reader.StoreReader.start(
            settings,
            core_ref,
            key_value.KeyValueClient(settings.platform, STORE_TIMEOUT_MS),
            time,
        )
        core_ref.tell(messages.ReaderStarted(reader_ref))
        log.info('agent started', extra={'listen': str(settings.listen)})
        stop.wait()
        log.info('agent stopped')
    finally:
        pykka.ActorRegistry.stop_all()
