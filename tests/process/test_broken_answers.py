"""Entry hosts give no malformed answer of a backend server to a caller."""

import socket

import urllib3

from cardamomdeal.platform import wire
from tests import broken_answers
from tests import entry_case
from tests import scripted_server

UPLOAD_BYTES = 4_000_000
UPLOADS = 100


class BrokenAnswersTest(entry_case.EntryHostCase):
    """The only server of a service sends malformed answers.

    Callers got such an answer as a success: with a body that was not the
    server's, or with a line of its head that is no header.
    """

    def setUp(self):
        super().setUp()
        self.server = entry_case.BreakingBackend('i-3')
        self.addCleanup(self.server.stop)
        self.store.put('servers/i-3', self.server.store_entry())
        self.put_configuration(2, ['faulty'])
        self.server.part = broken_answers.answer(b'Content-Length: 4')
        self.wait_until(lambda: self.ask('warm-up').status == 200)

    def ask(self, request_id):
        return self.send(self.hosts[0], 'faulty', request_id)

    def assert_refused(self, answers):
        for number, answer in enumerate(answers):
            self.server.part = answer
            response = self.ask(f'r{number}')
            with self.subTest(answer=answer[:120]):
                self.assertIn(response.status, (502, 503, 504))
                self.assertNotIn(wire.SIGNATURE, response.headers)
        self.assertGreaterEqual(self.server.answered_count, len(answers))

    def test_answers_with_invalid_length_are_refused(self):
        self.assert_refused(
            [
                broken_answers.answer(field)
                for field in broken_answers.INVALID_LENGTHS
            ]
        )

    def test_answers_with_misspelt_transfer_coding_are_refused(self):
        self.assert_refused(
            [
                broken_answers.answer(field, body=broken_answers.CHUNKED_BODY)
                for field in broken_answers.MISSPELT_CODINGS
            ]
        )

    def test_parts_of_answers_with_misspelt_length_are_refused(self):
        self.assert_refused(
            [
                broken_answers.answer(field, body=b'bo')
                for field in broken_answers.MISSPELT_LENGTHS
            ]
        )

    def test_answers_that_are_longer_than_their_length_are_refused(self):
        self.assert_refused(
            [
                broken_answers.answer(field, body=body)
                for field, body in broken_answers.EXCEEDED_LENGTHS
            ]
        )

    def test_answers_without_content_that_state_a_body_are_refused(self):
        self.assert_refused(
            [
                broken_answers.answer(field, b'HTTP/1.1 204 OK', b'')
                for field in (
                    b'Content-Length: 4',
                    b'Transfer-Encoding: chunked',
                )
            ]
        )

    def test_answers_with_an_empty_line_in_their_head_are_refused(self):
        self.assert_refused(
            [
                broken_answers.answer(b'X: 1', body=body)
                for body in broken_answers.CUT_OFF_HEADS
            ]
        )

    def test_answers_with_two_heads_are_refused(self):
        self.assert_refused(
            [
                broken_answers.answer(b'X: 1', body=body)
                for body in broken_answers.SECOND_HEADS
            ]
        )

    def test_answers_with_malformed_lines_are_refused(self):
        self.assert_refused(
            [
                broken_answers.answer(line)
                for line in broken_answers.MALFORMED_LINES
            ]
        )

    def test_answers_with_malformed_names_are_refused(self):
        self.assert_refused(
            [
                broken_answers.answer(field)
                for field in broken_answers.MALFORMED_NAMES
            ]
        )

    def test_answers_with_invalid_status_are_refused(self):
        self.assert_refused(
            [
                broken_answers.answer(b'Content-Length: 4', line)
                for line in broken_answers.INVALID_STATUSES
            ]
        )

    def test_answers_with_malformed_status_line_are_refused(self):
        self.assert_refused(
            [
                broken_answers.answer(b'Content-Length: 4', line)
                for line in broken_answers.MALFORMED_STATUS_LINES
            ]
        )

    def test_failures_with_the_status_of_a_success_are_refused(self):
        self.assert_refused(
            [
                broken_answers.answer(b'Content-Length: 0', line, b'')
                for line in broken_answers.FAILURES_AS_SUCCESSES
            ]
        )

    def test_answers_with_malformed_values_are_refused(self):
        self.assert_refused(
            [
                broken_answers.answer(field)
                for field in broken_answers.MALFORMED_VALUES
            ]
        )

    def test_answers_with_malformed_chunks_are_refused(self):
        self.assert_refused(
            [
                broken_answers.answer(b'Transfer-Encoding: chunked', body=body)
                for body in broken_answers.MALFORMED_CHUNKS
            ]
        )

    def test_answer_without_length_ends_with_its_connection(self):
        for field in (b'X: \xc3\x85', b'Connection: close'):
            self.server.part = broken_answers.answer(field, body=b'bodyMORE')
            response = self.ask('r')
            with self.subTest(field=field):
                self.assertEqual(
                    (200, b'bodyMORE'), (response.status, response.data)
                )

    def test_folded_field_is_forwarded_on_one_line(self):
        for field, value in broken_answers.FOLDED_FIELDS.items():
            self.server.part = broken_answers.answer(
                field + b'\r\nContent-Length: 4'
            )
            response = self.ask('r')
            with self.subTest(field=field):
                self.assertEqual(
                    (200, value),
                    (response.status, response.headers['X'].strip()),
                )

    def test_answer_with_odd_load_is_delivered(self):
        for field in broken_answers.ODD_LOADS:
            self.server.part = broken_answers.answer(
                field + b'\r\nContent-Length: 4'
            )
            with self.subTest(field=field[:120]):
                self.assertEqual(200, self.ask('r').status)

    def test_response_to_head_states_one_length(self):
        for field in broken_answers.VALID_LENGTHS:
            self.server.part = broken_answers.answer(field, body=b'')
            response = urllib3.request(
                'HEAD',
                f'http://{entry_case.LOOPBACK}:{self.hosts[0]["callers"]}'
                '/faulty/x',
                headers={'Host': 'shop.example', wire.REQUEST_ID: 'r'},
                retries=False,
            )
            with self.subTest(field=field):
                self.assertEqual('4', response.headers['Content-Length'])

    def test_body_of_a_response_without_one_is_not_sent_to_the_caller(self):
        self.server.part = broken_answers.answer(
            b'Transfer-Encoding: chunked',
            b'HTTP/1.1 204 No Content',
            broken_answers.CHUNKED_BODY,
        )
        with self.connect(self.hosts[0]) as opened:
            for number in range(2):
                opened.sendall(
                    f'GET /faulty/x HTTP/1.1\r\nHost: shop.example\r\n'
                    f'{wire.REQUEST_ID}: r{number}\r\n\r\n'.encode()
                )
                response = self.read_response(opened)
                self.assertIn(response.status, (502, 503, 504))
                self.assertEqual(
                    f'r{number}', response.headers[wire.REQUEST_ID]
                )
                self.assertNotIn(broken_answers.CHUNKED_BODY, response.data)


class ResettingBackend(entry_case.FaultyBackend):
    """Backend server that answers an upload at once in part and resets."""

    def answer(self, opened, request):
        opened.sendall(broken_answers.answer(b'X: 1', body=b'part'))
        opened.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, scripted_server.RESET
        )


class ResetDuringUploadTest(entry_case.EntryHostCase):
    """A server resets its connection while an upload is still being sent.

    The answer has no length, so the part that had arrived looked complete.
    """

    def test_answer_that_is_reset_is_not_complete(self):
        server = ResettingBackend('i-3')
        self.addCleanup(server.stop)
        self.store.put('servers/i-3', server.store_entry())
        self.put_configuration(2, ['faulty'], max_body_bytes=UPLOAD_BYTES)
        self.wait_until(
            lambda: self.send(self.hosts[0], 'faulty', 'r').status != 404
        )
        for number in range(UPLOADS):
            response = self.send(
                self.hosts[0], 'faulty', f'r{number}', bytes(UPLOAD_BYTES)
            )
            with self.subTest(upload=number):
                self.assertIn(response.status, (502, 503, 504))
