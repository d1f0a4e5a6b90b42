"""Actor that owns the administration API's connection to the store."""

from typing import Any

from returns.result import Result
from returns.result import Success

from cardamomdeal.admin import changes
from cardamomdeal.admin import errors
from cardamomdeal.admin import messages
from cardamomdeal.configuration import records
from cardamomdeal.internal import actor


class Keeper(actor.Actor):
    """Carry out changes one after the other."""

    def __init__(self, writer: changes.Changes) -> None:
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
        # The document goes first, so that a record never names one that
        # cannot be read.
        stored = self._writer.write_document(
            submit.change.digest, submit.canonical
        )
        match stored:
            case Success(_):
                return self._writer.apply(submit.change)
            case failed:
                return failed
