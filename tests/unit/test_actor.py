"""Actors outlive messages that they cannot handle."""

import logging
import unittest

import pykka

from cardamomdeal.internal import actor


class Dividing(actor.Actor):
    """Divide ten by each number."""

    def receive(self, message: int) -> float:
        return 10 / message


class ActorTest(unittest.TestCase):
    def test_a_message_that_fails_does_not_end_the_actor(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.addCleanup(pykka.ActorRegistry.stop_all)
        dividing = Dividing.start()
        dividing.tell(0)
        self.assertIsNone(dividing.ask(0))
        self.assertEqual(5, dividing.ask(2))
