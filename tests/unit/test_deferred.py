"""A deferred value leaves no file descriptors behind."""

import gc
import os
import unittest
from unittest import mock

from cardamomdeal.internal import deferred


class DeferredTest(unittest.TestCase):
    def test_value_that_nobody_awaits_is_closed(self):
        """The thread that asked for it gave up before it was made."""
        pipe = os.pipe()
        with mock.patch.object(os, 'pipe', return_value=pipe):
            unawaited = deferred.Deferred()
        unawaited.set(1)
        del unawaited
        gc.collect()
        for descriptor in pipe:
            self.assertRaises(OSError, os.fstat, descriptor)

    def test_value_without_a_pipe_is_dropped(self):
        """The process has no descriptors left."""
        with mock.patch.object(os, 'pipe', side_effect=OSError):
            self.assertRaises(OSError, deferred.Deferred)
