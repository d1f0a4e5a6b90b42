"""Actor that reads and writes the store for the administration API."""

from typing import Any

from returns.result import Result
from returns.result import Success

from cardamomdeal.admin import changes
from cardamomdeal.admin import errors
from cardamomdeal.admin import messages
from cardamomdeal.configuration import records
from cardamomdeal.internal import actor


class Keeper(actor.Actor):
    """Owner of the change writer, which applies one change at a time."""

    def __init__(self, writer: changes.ChangeWriter) -> None:
        super().__init__()
        self._writer = writer

    def receive(self, message: Any) -> Any:
        """Handle one message."""
        match message:
            case messages.Submit():
                return self._submit(message)
            case messages.Show(environment):
                return self._writer.read(environment)
            case messages.ReadDocument(digest):
                return self._writer.read_document(digest)

    def _submit(
        self, submit: messages.Submit
    ) -> Result[records.Change, errors.AdminError]:
        # The document is written first, so that no record refers to a
        # document that is not stored.
        written = self._writer.write_document(
            submit.change.digest, submit.canonical
        )
        match written:
            case Success(_):
                return self._writer.apply(submit.change)
            case failed:
                return failed
