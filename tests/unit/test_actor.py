"""An exception in a message handler does not stop the actor."""

import logging
import unittest

import pykka

from cardamomdeal.internal import actor


class Divider(actor.Actor):
    """Actor that divides ten by each message and fails on zero."""

    def receive(self, message: int) -> float:
        return 10 / message


class ActorTest(unittest.TestCase):
    def test_actor_survives_exception_in_message_handler(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.addCleanup(pykka.ActorRegistry.stop_all)
        divider = Divider.start()
        divider.tell(0)
        self.assertIsNone(divider.ask(0))
        self.assertEqual(5, divider.ask(2))
