"""Responses 503 on connections for which no thread is free."""

from cheroot import server as cheroot_server

from cardamomdeal.internal import closing_connection
from cardamomdeal.internal import closing_task

RESPONSE_BODY = b'no thread is free; the request was not run\n'


class Refuser:
    """Sends a refusal at once and has its connection closed."""

    def __init__(
        self,
        headers: tuple[tuple[str, str], ...],
        closing: closing_task.ClosingTask,
    ) -> None:
        self._response = _build_response(headers)
        self._closing = closing

    def refuse(self, connection: cheroot_server.HTTPConnection) -> None:
        """Take ownership of a connection and refuse its request."""
        step: closing_connection.Step
        if getattr(connection, 'has_received', False):
            step = closing_connection.Send(self._response)
        else:
            step = closing_connection.AwaitRequest(self._response)
        self._closing.end(connection, step)


def _build_response(headers: tuple[tuple[str, str], ...]) -> bytes:
    lines = [
        'HTTP/1.1 503 Service Unavailable',
        f'Content-Length: {len(RESPONSE_BODY)}',
        'Content-Type: text/plain',
        *(f'{name}: {value}' for name, value in headers),
        'Connection: close',
        '',
        '',
    ]
    return '\r\n'.join(lines).encode() + RESPONSE_BODY
