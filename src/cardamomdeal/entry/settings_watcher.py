"""Actor that takes over a changed settings file."""

import logging
import pathlib
from typing import Any

import pykka

from cardamomdeal.entry import messages
from cardamomdeal.internal import actor
from cardamomdeal.internal import ticker
from cardamomdeal.settings import errors
from cardamomdeal.settings import load
from cardamomdeal.settings import model

# The file may change without a signal; a change has to be in force within
# two seconds.
CHECK_INTERVAL_MS = 500

log = logging.getLogger(__name__)


class SettingsWatcher(actor.Actor):
    """Read the settings file again when it changes."""

    def __init__(
        self,
        path: str,
        settings: model.EntrySettings,
        tasks: tuple[pykka.ActorRef[Any], ...],
    ) -> None:
        super().__init__()
        self._path = path
        self._settings = settings
        self._tasks = tasks
        self._seen = self._text()

    def on_start(self) -> None:
        """Begin to look at the file."""
        self._ticker = ticker.Ticker(
            self.actor_ref, messages.Tick(), CHECK_INTERVAL_MS
        )
        self._ticker.start()

    def on_stop(self) -> None:
        """Stop looking at the file."""
        self._ticker.stop()

    def receive(self, message: Any) -> None:
        """Handle one message."""
        match message:
            case messages.Tick():
                if self._text() != self._seen:
                    self._reload()
            case messages.ReloadSettings():
                self._reload()

    def _text(self) -> bytes | None:
        try:
            return pathlib.Path(self._path).read_bytes()
        except OSError as error:
            log.warning(
                'settings not readable',
                extra={'path': self._path, 'reason': str(error)},
            )
            return None

    def _reload(self) -> None:
        self._seen = self._text()
        try:
            read = load.load_entry(self._path)
        except errors.SettingsError as error:
            log.error('settings refused', extra={'reason': str(error)})
            return
        waits_for_start = model.changed_restart_only_fields(
            self._settings, read
        )
        if waits_for_start:
            log.warning(
                'settings in force from the next start only',
                extra={'fields': waits_for_start},
            )
        log.info('settings reloaded', extra={'settings': str(read)})
        self._settings = read
        for task in self._tasks:
            task.tell(messages.SettingsInForce(read))
