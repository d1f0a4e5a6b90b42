"""Actor that reloads the settings file when it changes."""

import logging
import pathlib
from typing import Any

import pykka

from cardamomdeal.entry import messages
from cardamomdeal.internal import actor
from cardamomdeal.internal import scheduler
from cardamomdeal.settings import errors
from cardamomdeal.settings import load
from cardamomdeal.settings import model

# The file may change without a signal to the process. A change must take
# effect within two seconds.
CHECK_INTERVAL_MS = 500

log = logging.getLogger(__name__)


class SettingsWatcher(actor.Actor):
    """Actor that watches the settings file and sends changes to others."""

    def __init__(
        self,
        path: str,
        settings: model.EntrySettings,
        recipients: tuple[pykka.ActorRef[Any], ...],
        timers: scheduler.Scheduler,
    ) -> None:
        super().__init__()
        self._timers = timers
        self._path = path
        self._settings = settings
        self._recipients = recipients
        self._last_content = self._read_content()

    def on_start(self) -> None:
        """Schedule the checks of the file."""
        self._timers.every(self.actor_ref, messages.Tick(), CHECK_INTERVAL_MS)

    def receive(self, message: Any) -> None:
        """Handle one message."""
        match message:
            case messages.Tick():
                if self._read_content() != self._last_content:
                    self._reload()
            case messages.ReloadSettings():
                self._reload()

    def _read_content(self) -> bytes | None:
        try:
            return pathlib.Path(self._path).read_bytes()
        except OSError as error:
            log.warning(
                'cannot read the settings file',
                extra={'path': self._path, 'reason': str(error)},
            )
            return None

    def _reload(self) -> None:
        self._last_content = self._read_content()
        try:
            reloaded = load.load_entry(self._path)
        except errors.SettingsError as error:
            log.error('settings rejected', extra={'reason': str(error)})
            return
        restart_only_fields = model.changed_restart_only_fields(
            self._settings, reloaded
        )
        if restart_only_fields:
            log.warning(
                'changed settings take effect only after a restart',
                extra={'fields': restart_only_fields},
            )
        log.info('settings reloaded', extra={'settings': str(reloaded)})
        self._settings = reloaded
        for recipient in self._recipients:
            recipient.tell(messages.SettingsUpdated(reloaded))
