"""Requests and connections on top of the HTTP server library."""

import select
from typing import Any

from cheroot import server as cheroot_server
from cheroot import wsgi

from cardamomdeal.internal import chunked_body

TOO_LARGE_STATUS = b'413'
# WSGI does not tell them from the fields that state where a body ends.
AMBIGUOUS_FIELDS = frozenset({b'Content_Length', b'Transfer_Encoding'})


class HeaderReader(cheroot_server.HeaderReader):
    """Reader that tells which headers came on more than one line.

    The library keeps only the last line of most headers.
    """

    def __init__(self) -> None:
        self.repeated: set[bytes] = set()
        self._read: set[bytes] = set()

    def _allow_header(self, key_name: bytes) -> bool:
        """Record a line, also one that continues the line before."""
        if key_name in self._read:
            self.repeated.add(key_name)
        self._read.add(key_name)
        return super()._allow_header(key_name)


class Request(cheroot_server.HTTPRequest):
    """Request that closes its connection if its body is not read."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.header_reader = HeaderReader()

    def is_repeated(self, header: str) -> bool:
        """Return whether a header came on more than one line."""
        return header.title().encode() in self.header_reader.repeated

    def read_request_headers(self) -> bool:
        """Read the headers; return False if the request was rejected."""
        if not super().read_request_headers():
            return False
        fault = self._find_framing_fault()
        if fault is not None:
            self.simple_response('400 Bad Request', fault)
        return fault is None

    def _find_framing_fault(self) -> str | None:
        """Return why it is unclear where the body ends, if it is."""
        if self.is_repeated('Content-Length'):
            return 'Content-Length: send only one'
        if not AMBIGUOUS_FIELDS.isdisjoint(self.inheaders):
            return 'Content-Length and Transfer-Encoding have a hyphen'
        if (
            self.response_protocol != 'HTTP/1.1'
            and b'Transfer-Encoding' in self.inheaders
        ):
            # The library ignores the field, and would take the chunks for the
            # next request (RFC 9112, 6.1).
            return 'Transfer-Encoding needs HTTP/1.1'
        return None

    def send_headers(self) -> None:
        """Send the head of the response."""
        # The library reads the rest of a body into memory, but not if it is
        # sent in chunks; that rest would be taken for the next request.
        if self._has_unread_body():
            self.close_connection = True
        stays_open = not self.close_connection
        if stays_open and self.status.startswith(TOO_LARGE_STATUS):
            # The library closes the connection, although a server may have
            # refused a request that was read to its end, and requests behind
            # it may have run.
            self.outheaders.append((b'Connection', b'keep-alive'))
            super().send_headers()
            self.close_connection = False
            return
        super().send_headers()

    def _has_unread_body(self) -> bool:
        match self.rfile:
            case cheroot_server.KnownLengthRFile(remaining=remaining):
                # It is negative if the stated length is.
                return remaining != 0
            case cheroot_server.ChunkedRFile(closed=is_read):
                return not is_read
            case _:
                return False


class Gateway(wsgi.Gateway_10):
    """WSGI gateway that reads chunked bodies to their end."""

    def get_environ(self) -> dict[str, Any]:
        """Return the environ of the request."""
        if self.req.chunked_read:
            self.req.rfile = chunked_body.ChunkedBody(self.req.conn.rfile)
        return super().get_environ()


class Connection(cheroot_server.HTTPConnection):
    """Connection of a client."""

    RequestHandlerClass = Request

    def communicate(self) -> bool:
        """Serve one request; return whether to keep the connection open."""
        if not self.has_request():
            return True
        return super().communicate()

    def has_request(self) -> bool:
        """Discard empty lines; return whether anything is left to be read.

        Some clients send an empty line after a body (RFC 9112, 2.2). Taken for
        a part of the next request, it would occupy a thread.
        """
        while self.rfile.has_data() or self.is_readable():
            # Blocks only if nothing has been received.
            if not self.rfile.peek(1).startswith(cheroot_server.CRLF):
                return True
            self.rfile.read(len(cheroot_server.CRLF))
        return False

    def is_readable(self) -> bool:
        """Return whether bytes or the end of the connection have arrived."""
        poller = select.poll()
        poller.register(self.socket, select.POLLIN)
        return bool(poller.poll(0))
