"""Actor that reads and changes the stored configuration."""

from typing import Any

from returns.result import Result
from returns.result import Success

from cardamomdeal.admin import changes
from cardamomdeal.admin import errors
from cardamomdeal.admin import messages
from cardamomdeal.configuration import records
from cardamomdeal.internal import actor


class ConfigurationStore(actor.Actor):
    """Actor that owns the change writer and applies one change at a time."""

    def __init__(self, writer: changes.ChangeWriter) -> None:
        super().__init__()
        self._writer = writer

    def receive(self, message: Any) -> Any:
        """Handle one message."""
        match message:
            case messages.ApplyChange():
                return self._apply_change(message)
            case messages.ReadRecord(environment):
                return self._writer.read_record(environment)
            case messages.ReadDocument(digest):
                return self._writer.read_document(digest)

    def _apply_change(
        self, request: messages.ApplyChange
    ) -> Result[records.Change, errors.AdminError]:
        # The document is written first, so that no record refers to a
        # document that is not stored.
        written = self._writer.write_document(
            request.change.digest, request.canonical
        )
        match written:
            case Success(_):
                return self._writer.apply(request.change)
            case failure:
                return failure
