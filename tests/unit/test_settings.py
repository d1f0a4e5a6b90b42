"""Settings files of entry hosts, as the platform fills them in."""

import json
import pathlib
import tempfile
import unittest

from cardamomdeal.settings import errors
from cardamomdeal.settings import load

ADDRESS = '127.0.0.1:7000'
SETTINGS = {
    'host': 'entry-1',
    'region': 'r',
    'data_centre': 'a',
    'callers': ADDRESS,
    'readiness': ADDRESS,
    'directory': ADDRESS,
    'peers': ADDRESS,
    'metrics': ADDRESS,
    'store': ADDRESS,
    'bounds': {
        'drain': '2000ms',
        'stop_grace': '6s',
        'max_keep_for': '5s',
        'repeat_ratio': 0.2,
        'repeat_window': '10s',
        'repeat_slack': 58.0,
        'capacity_floor': 0.7,
    },
}


class EntrySettingsTest(unittest.TestCase):
    def load(self, **changes):
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / 'entry.jsonc'
            path.write_text(json.dumps(SETTINGS | changes))
            return load.load_entry(str(path))

    def test_memory_and_heartbeat_of_the_platform_are_used(self):
        settings = self.load(memory_mb=552, heartbeat='2s')
        self.assertEqual(552, settings.memory_mb)
        self.assertEqual(2_000, settings.heartbeat_ms)

    def test_memory_and_heartbeat_may_be_left_out(self):
        settings = self.load()
        self.assertEqual(300, settings.memory_mb)
        self.assertEqual(1_500, settings.heartbeat_ms)

    def test_error_names_the_field(self):
        for field, value in (
            ('memory_mb', 0),
            ('memory_mb', '300'),
            ('memory_mb', None),
            ('heartbeat', 'soon'),
            ('heartbeat', 1_500),
        ):
            with (
                self.subTest(field=field, value=value),
                self.assertRaisesRegex(errors.SettingsError, field),
            ):
                self.load(**{field: value})


if __name__ == '__main__':
    unittest.main()
