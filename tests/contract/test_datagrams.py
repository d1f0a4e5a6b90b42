"""The task that owns the datagrams between entry hosts."""

import queue
import socket
import unittest

import pykka

from cardamomdeal.channels import datagrams
from cardamomdeal.internal import address
from cardamomdeal.protocol import codec
from cardamomdeal.protocol import messages

HOST = '127.0.0.1'


class Owner(pykka.ThreadingActor):
    """Pass on what the task tells."""

    def __init__(self, told):
        super().__init__()
        self._told = told

    def on_receive(self, message):
        self._told.put(message)


def free_address():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind((HOST, 0))
        return address.Address(HOST, probe.getsockname()[1])


class DatagramTaskTest(unittest.TestCase):
    def setUp(self):
        self.addCleanup(pykka.ActorRegistry.stop_all)
        self.told = queue.Queue()
        owner = Owner.start(self.told)
        self.places = [free_address(), free_address()]
        self.tasks = [datagrams.DatagramTask(owner, at) for at in self.places]
        for task in self.tasks:
            task.start()
            self.addCleanup(task.join, 5)
            self.addCleanup(task.command, datagrams.Stop())

    def test_message_arrives_with_its_sender(self):
        told = messages.StoreProgress('entry-1', 7, 20)
        self.send(told)
        arrived = self.told.get(timeout=5)
        self.assertEqual(datagrams.Arrived(self.places[0], told), arrived)

    def test_message_that_is_too_large_ends_nothing(self):
        # A configuration of many routes, changed many times.
        for size_bytes in (
            datagrams.MAX_DATAGRAM_BYTES,
            codec.MAX_MESSAGE_BYTES,
        ):
            entry = messages.StoreEntry('op/config', b'x' * size_bytes, 3)
            self.send(messages.StoreChanges('entry-1', 2, 3, (entry,)))
        self.send(messages.StoreProgress('entry-1', 7, 20))
        self.assertIsInstance(
            self.told.get(timeout=5).message, messages.StoreProgress
        )

    def test_bytes_that_are_no_message_are_dropped(self):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
            at = self.places[1]
            stranger.sendto(b'\xff\x00 nonsense', (at.host, at.port))
        self.send(messages.StoreProgress('entry-1', 7, 20))
        self.assertIsInstance(
            self.told.get(timeout=5).message, messages.StoreProgress
        )

    def send(self, message):
        self.tasks[0].command(datagrams.SendTo((self.places[1],), message))
