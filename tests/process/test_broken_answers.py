"""Entry hosts give no malformed answer of a backend server to a caller."""

from cardamomdeal.platform import wire
from tests import broken_answers
from tests import entry_case


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

    def test_answers_with_malformed_values_are_refused(self):
        self.assert_refused(
            [
                broken_answers.answer(field)
                for field in broken_answers.MALFORMED_VALUES
            ]
        )
