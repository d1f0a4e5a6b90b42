"""Answers that are malformed are not delivered.

A backend server in trouble sends a head that is corrupt. The HTTP library
skips what it cannot parse and takes other bytes for the body than the server
meant, so the caller got a success with a body that was not the server's.
"""

import contextlib
import socket
import unittest

from cardamomdeal.backend import connection
from cardamomdeal.backend import errors
from cardamomdeal.internal import address
from cardamomdeal.internal import body_buffer
from cardamomdeal.internal import clock
from cardamomdeal.internal import memory_budget
from tests import broken_answers
from tests import scripted_server

LIMIT_MS = 2_000
REQUEST_ID = 'r1'
ID_HEADER = 'Request-Id'
SHOWN_BYTES = 120
UPLOAD_BYTES = 16 * 1024 * 1024
# Less than an upload of this size takes.
CLOCK_READINGS = 10
NO_CONTENT = b'HTTP/1.1 204 No Content'
BODIES = {
    b'Content-Length: 4': b'body',
    b'Transfer-Encoding: chunked': broken_answers.CHUNKED_BODY,
}


class BrokenAnswersCase(unittest.TestCase):
    """Test case that exchanges a request for prepared bytes."""

    def connect(self, answer, resets=False):
        server = scripted_server.ScriptedServer([answer], resets)
        self.addCleanup(server.close)
        opened = connection.BackendConnection(
            server.address, LIMIT_MS, clock.Clock()
        )
        self.addCleanup(opened.close)
        return opened

    def assert_delivered(self, answer, status, body, method='GET'):
        for exchange in EXCHANGES:
            with self.subTest(
                answer=answer[:SHOWN_BYTES], exchange=exchange.__name__
            ):
                opened = self.connect(answer)
                self.assertEqual((status, body), exchange(opened, method))

    def assert_refused(self, answer, method='GET'):
        for exchange in EXCHANGES:
            with self.subTest(
                answer=answer[:SHOWN_BYTES], exchange=exchange.__name__
            ):
                opened = self.connect(answer)
                with self.assertRaises(errors.ExchangeBroken):
                    exchange(opened, method)
                self.assertFalse(opened.is_usable())


class InvalidLengthTest(BrokenAnswersCase):
    """The caller got the rest of the connection as the body."""

    def test_invalid_length_is_refused(self):
        for field in broken_answers.INVALID_LENGTHS:
            self.assert_refused(broken_answers.answer(field))

    def test_invalid_transfer_coding_is_refused(self):
        for field in broken_answers.INVALID_CODINGS:
            self.assert_refused(
                broken_answers.answer(field, body=broken_answers.CHUNKED_BODY)
            )

    def test_misspelt_transfer_coding_is_refused(self):
        for field in broken_answers.MISSPELT_CODINGS:
            self.assert_refused(
                broken_answers.answer(field, body=broken_answers.CHUNKED_BODY)
            )

    def test_part_of_a_body_with_misspelt_length_is_refused(self):
        for field in broken_answers.MISSPELT_LENGTHS:
            self.assert_refused(broken_answers.answer(field, body=b'bo'))

    def test_name_that_is_like_the_length_is_delivered(self):
        for field in broken_answers.NAMES_LIKE_LENGTH:
            opened = self.connect(
                broken_answers.answer(field, body=b'bodyMORE')
            )
            with self.subTest(field=field):
                self.assertEqual(
                    (200, b'bodyMORE'), _exchange_buffered(opened, 'GET')
                )

    def test_answer_that_is_longer_than_its_length_is_refused(self):
        for field, body in broken_answers.EXCEEDED_LENGTHS:
            self.assert_refused(broken_answers.answer(field, body=body))

    def test_answer_with_an_empty_line_in_its_head_is_refused(self):
        for body in broken_answers.CUT_OFF_HEADS:
            self.assert_refused(broken_answers.answer(b'X: 1', body=body))

    def test_answer_with_two_heads_is_refused(self):
        for body in broken_answers.SECOND_HEADS:
            self.assert_refused(broken_answers.answer(b'X: 1', body=body))

    def test_body_that_is_like_a_head_is_delivered(self):
        for body in broken_answers.BODIES_LIKE_HEADS:
            opened = self.connect(broken_answers.answer(b'X: 1', body=body))
            with self.subTest(body=body):
                self.assertEqual(
                    (200, body), _exchange_buffered(opened, 'GET')
                )

    def test_copy_behind_an_answer_does_not_continue_it(self):
        answer = broken_answers.answer(b'Content-Length: 4')
        for copy_bytes in (1, 5, len(answer)):
            self.assert_delivered(answer + answer[:copy_bytes], 200, b'body')

    def test_valid_length_is_read(self):
        for field in broken_answers.VALID_LENGTHS:
            self.assert_delivered(broken_answers.answer(field), 200, b'body')

    def test_answer_without_length_ends_with_its_connection(self):
        for field in (b'X: 1', b'Connection: close'):
            with self.subTest(field=field):
                opened = self.connect(
                    broken_answers.answer(field, body=b'bodyMORE')
                )
                self.assertEqual(
                    (200, b'bodyMORE'), _exchange_buffered(opened, 'GET')
                )

    def test_valid_transfer_coding_is_read(self):
        for field in broken_answers.VALID_CODINGS:
            self.assert_delivered(
                broken_answers.answer(field, body=broken_answers.CHUNKED_BODY),
                200,
                b'body',
            )


class MalformedLineTest(BrokenAnswersCase):
    """The fields after the line were lost, or taken for a part of another."""

    def test_line_that_is_no_field_is_refused(self):
        for line in broken_answers.MALFORMED_LINES:
            self.assert_refused(broken_answers.answer(line))

    def test_malformed_interim_response_is_refused(self):
        answer = broken_answers.answer(b'Content-Length: 4', body=b'body')
        for line in (b'no field', b' X: 1', b': 1'):
            self.assert_refused(
                b'HTTP/1.1 100 Continue\r\n' + line + b'\r\n\r\n' + answer
            )

    def test_line_after_the_status_line_continues_no_field(self):
        for line in (b' 1', b'\t', b' X: 1'):
            self.assert_refused(
                b'HTTP/1.1 200 OK\r\n' + line + b'\r\nContent-Length: 4'
                b'\r\n\r\nbody'
            )

    def test_folded_field_is_read(self):
        for field in broken_answers.FOLDED_FIELDS:
            self.assert_delivered(
                broken_answers.answer(field + b'\r\nContent-Length: 4'),
                200,
                b'body',
            )

    def test_interim_response_is_skipped(self):
        answer = broken_answers.answer(b'Content-Length: 4', body=b'body')
        for fields in (b'', b'X: 1\r\n'):
            self.assert_delivered(
                b'HTTP/1.1 100 Continue\r\n' + fields + b'\r\n' + answer,
                200,
                b'body',
            )

    def test_line_feed_does_not_end_a_line(self):
        for answer in broken_answers.BARE_LINE_FEEDS:
            self.assert_refused(answer)


class MalformedNameTest(BrokenAnswersCase):
    """The length was not recognised, or the line was forwarded."""

    def test_malformed_name_is_refused(self):
        for field in broken_answers.MALFORMED_NAMES:
            self.assert_refused(broken_answers.answer(field))

    def test_any_token_is_a_name(self):
        self.assert_delivered(
            broken_answers.answer(
                b"!#$%&'*+-.^_`|~0aZ: 1\r\nContent-Length: 4"
            ),
            200,
            b'body',
        )


class MalformedStatusLineTest(BrokenAnswersCase):
    """A response that is none in the protocol is no answer."""

    def test_invalid_status_is_refused(self):
        for line in broken_answers.INVALID_STATUSES:
            self.assert_refused(
                broken_answers.answer(b'Content-Length: 4', line)
            )

    def test_malformed_status_line_is_refused(self):
        for line in broken_answers.MALFORMED_STATUS_LINES:
            self.assert_refused(
                broken_answers.answer(b'Content-Length: 4', line)
            )

    def test_success_with_the_reason_of_a_failure_is_refused(self):
        for line in broken_answers.FAILURES_AS_SUCCESSES:
            self.assert_refused(
                broken_answers.answer(b'Content-Length: 0', line, b'')
            )

    def test_other_reasons_of_a_success_are_delivered(self):
        for reason in (b'Found 3 of 4', b'No Content', b'Not Found here'):
            self.assert_delivered(
                broken_answers.answer(
                    b'Content-Length: 4', b'HTTP/1.1 200 ' + reason
                ),
                200,
                b'body',
            )

    def test_reason_phrase_is_optional(self):
        for reason in (b'', b' ', b' OK', b' \xc3\x85\tOK'):
            for status in (200, 418, 599):
                line = b'HTTP/1.1 %d' % status + reason
                self.assert_delivered(
                    broken_answers.answer(b'Content-Length: 4', line),
                    status,
                    b'body',
                )


class MalformedValueTest(BrokenAnswersCase):
    """A carriage return split a value into two headers."""

    def test_malformed_value_is_refused(self):
        for field in broken_answers.MALFORMED_VALUES:
            self.assert_refused(broken_answers.answer(field))

    def test_any_text_is_a_value(self):
        self.assert_delivered(
            broken_answers.answer(b'X: \t\xff: ~\r\nContent-Length: 4'),
            200,
            b'body',
        )


class OddLoadTest(BrokenAnswersCase):
    """A load that is no number ended the exchange with an internal error."""

    def test_odd_load_is_ignored(self):
        for field in broken_answers.ODD_LOADS:
            self.assert_delivered(
                broken_answers.answer(field + b'\r\nContent-Length: 4'),
                200,
                b'body',
            )


class MalformedChunksTest(BrokenAnswersCase):
    """A chunk was cut at a wrong size, and the rest of the body skipped."""

    def answer(self, body):
        return broken_answers.answer(b'Transfer-Encoding: chunked', body=body)

    def test_malformed_chunks_are_refused(self):
        for body in broken_answers.MALFORMED_CHUNKS:
            self.assert_refused(self.answer(body))

    def test_valid_chunks_are_read(self):
        for body in broken_answers.VALID_CHUNKS:
            self.assert_delivered(self.answer(body), 200, b'body')

    def test_chunk_that_is_read_in_parts_is_complete(self):
        part = bytes(range(256)) * 1_024
        for size in (len(part), connection.CHUNK_BYTES, 65_538, 2, 1):
            body = b'%x\r\n%b\r\n0\r\n\r\n' % (size, part[:size])
            self.assert_delivered(self.answer(body), 200, part[:size])


class ResponseWithoutBodyTest(BrokenAnswersCase):
    """Some responses have no body, whatever their head states.

    Bytes that followed such a head were sent to the caller behind it, where
    the next response is expected. They may be the body of another status.
    """

    def test_response_with_bytes_after_the_head_is_refused(self):
        for status in (204, 304):
            for field, body in BODIES.items():
                line = b'HTTP/1.1 %d Status' % status
                self.assert_refused(broken_answers.answer(field, line, body))

    def test_response_to_head_has_no_body(self):
        for field, body in BODIES.items():
            self.assert_delivered(
                broken_answers.answer(field, body=body), 200, b'', 'HEAD'
            )

    def test_204_that_states_a_body_is_refused(self):
        for field in BODIES:
            for method in ('GET', 'HEAD'):
                self.assert_refused(
                    broken_answers.answer(field, NO_CONTENT, b''), method
                )

    def test_connection_is_reused_without_such_bytes(self):
        for line, field in (
            (NO_CONTENT, b'X: 1'),
            (NO_CONTENT, b'Content-Length: 0'),
            *((b'HTTP/1.1 304 Status', field) for field in BODIES),
        ):
            with self.subTest(line=line, field=field):
                opened = self.connect(broken_answers.answer(field, line, b''))
                self.assertEqual(b'', _exchange_buffered(opened, 'GET')[1])
                self.assertTrue(opened.reusable)


class ResetDuringUploadTest(unittest.TestCase):
    """A server answers without a length and resets before the upload ends.

    The caller got the part of the body that had arrived as a whole answer.
    """

    def exchange(self, reset_at_reading, interrupt=None):
        """Upload, with the reset at the given reading of the clock."""
        interrupt = interrupt or self._answer_part
        with socket.create_server(('127.0.0.1', 0)) as listener:
            time = _InterruptingClock(reset_at_reading)
            opened = connection.BackendConnection(
                address.Address(*listener.getsockname()), LIMIT_MS, time
            )
            self.addCleanup(opened.close)
            accepted, _ = listener.accept()
        self.addCleanup(accepted.close)
        time.interruption = lambda: interrupt(accepted)
        request = connection.BufferedRequest(
            'POST',
            '/',
            (('Content-Length', str(UPLOAD_BYTES)),),
            body_buffer.Body((bytes(UPLOAD_BYTES),)),
            ID_HEADER,
            REQUEST_ID,
        )
        response = opened.exchange_buffered(request, _limit(), None)
        return response.buffered_body(
            memory_budget.Reservation(memory_budget.MemoryBudget(1_000_000))
        )

    def _answer_part(self, accepted):
        accepted.sendall(broken_answers.answer(b'X: 1', body=b'part'))
        accepted.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, scripted_server.RESET
        )
        accepted.close()

    def test_answer_that_is_reset_is_not_complete(self):
        for reading in range(1, 1 + CLOCK_READINGS):
            with (
                self.subTest(reset_at_reading=reading),
                self.assertRaises(errors.ExchangeBroken),
            ):
                self.exchange(reading)


class ClosedDuringUploadTest(ResetDuringUploadTest):
    """A server closes its connection before the upload ends.

    The end arrives before the reset, and a part looked like a whole answer.
    """

    def _answer_part(self, accepted):
        accepted.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            while accepted.recv(UPLOAD_BYTES):
                pass
        accepted.setblocking(True)
        accepted.sendall(broken_answers.answer(b'X: 1', body=b'part'))
        accepted.close()

    def _answer_before_reading(self, accepted):
        accepted.sendall(broken_answers.answer(b'X: 1'))
        accepted.shutdown(socket.SHUT_WR)

    def test_answer_of_a_server_that_reads_on_is_complete(self):
        for reading in range(1, 1 + CLOCK_READINGS):
            with self.subTest(answered_at_reading=reading):
                body = self.exchange(reading, self._answer_before_reading)
                self.assertEqual(b'body', b''.join(body.parts))


class _InterruptingClock(clock.Clock):
    """Clock at one of whose readings the thread is interrupted."""

    def __init__(self, reading):
        super().__init__()
        self._unread_count = reading
        self.interruption = None

    def now_ms(self):
        if self.interruption is not None:
            self._unread_count -= 1
            if not self._unread_count:
                self.interruption()
        return super().now_ms()


def _exchange_buffered(opened, method):
    request = connection.BufferedRequest(
        method, '/', (), body_buffer.Body(), ID_HEADER, REQUEST_ID
    )
    response = opened.exchange_buffered(request, _limit(), None)
    body = response.buffered_body(
        memory_budget.Reservation(memory_budget.MemoryBudget(1_000_000))
    )
    return response.status, b''.join(body.parts)


def _exchange_streamed(opened, method):
    request = connection.Request(REQUEST_ID, method, '/', (), None, None)
    response = opened.exchange(request, _limit())
    return response.status, b''.join(response.body())


def _limit():
    return connection.TimeLimit(
        clock.Clock().now_ms() + LIMIT_MS, idle_timeout_ms=LIMIT_MS
    )


EXCHANGES = (_exchange_buffered, _exchange_streamed)

if __name__ == '__main__':
    unittest.main()
