"""Servers that have left do not come back with an older copy of the store."""

import json
import unittest

from cardamomdeal.entry import fleet_state
from cardamomdeal.fleet import departures
from cardamomdeal.fleet import model
from cardamomdeal.fleet import registry
from cardamomdeal.fleet import revisions
from cardamomdeal.platform import store

HEARTBEAT_MS = 1_500
HOLD_MS = departures.EXPIRY_HEARTBEATS * HEARTBEAT_MS + departures.REWRITE_MS
KEY = 'servers/i-1'
LEFT_AT_MS = 10_000
RESTORED_AT_MS = 15_000


def entry(state='ready', born=1_788_000_000_000):
    return json.dumps(
        {
            'address': '127.0.0.1:8080',
            'born': born,
            'info': {'service': 's', 'zone': 'a', 'slots': 3},
            'status': {'state': state, 'seq': 4, 'cold_remaining': '0ms'},
        }
    ).encode()


class DeparturesTest(unittest.TestCase):
    def setUp(self):
        self.state = fleet_state.FleetState(HEARTBEAT_MS)
        self.state.replace((store.Item(KEY, entry(), 1),), 5, 0)

    def restore(self, item, number=2, era=1, now_ms=RESTORED_AT_MS):
        self.state.replace((item,), revisions.pack(era, number), now_ms)

    def copied(self, value=None, era=1):
        return store.Item(KEY, value or entry(), revisions.pack(era, 1))

    def ready_servers(self):
        return [
            server.server_id
            for server in self.state.servers()
            if server.state is model.ServerState.READY
        ]

    def test_leaving_server_stays_leaving(self):
        self.state.apply(store.Item(KEY, entry('draining'), 6), LEFT_AT_MS)
        self.restore(self.copied())
        self.assertEqual([], self.ready_servers())

    def test_removed_server_stays_away(self):
        self.state.apply(store.Removal(KEY, 6), LEFT_AT_MS)
        self.restore(self.copied())
        self.assertEqual((), self.state.servers())

    def test_second_restore(self):
        self.state.apply(store.Removal(KEY, 6), LEFT_AT_MS)
        self.restore(self.copied())
        self.restore(self.copied(era=2), era=2, now_ms=RESTORED_AT_MS + 2_000)
        self.assertEqual((), self.state.servers())

    def test_entry_written_since_the_restore_is_used(self):
        self.state.apply(store.Removal(KEY, 6), LEFT_AT_MS)
        self.restore(self.copied())
        written = store.Item(KEY, entry(), revisions.pack(1, 3))
        self.state.apply(written, RESTORED_AT_MS + 1)
        self.assertEqual(['i-1'], self.ready_servers())

    def test_entry_that_outlives_its_expiry_is_used(self):
        self.state.apply(store.Removal(KEY, 6), LEFT_AT_MS)
        self.restore(self.copied())
        self.assertFalse(self.state.expire(RESTORED_AT_MS + HOLD_MS - 1))
        self.assertTrue(self.state.expire(RESTORED_AT_MS + HOLD_MS))
        self.assertEqual(['i-1'], self.ready_servers())

    def test_entry_that_expires_after_the_restore_is_not_used(self):
        self.state.apply(store.Removal(KEY, 6), LEFT_AT_MS)
        self.restore(self.copied())
        removal = store.Removal(KEY, revisions.pack(1, 3))
        self.state.apply(removal, RESTORED_AT_MS + 1)
        self.state.expire(RESTORED_AT_MS + HOLD_MS)
        self.assertEqual((), self.state.servers())

    def test_server_that_started_again_is_used(self):
        self.state.apply(store.Removal(KEY, 6), LEFT_AT_MS)
        self.restore(self.copied(entry(born=1_788_000_009_000)))
        self.assertEqual(['i-1'], self.ready_servers())

    def test_server_that_came_back_before_the_restore_is_used(self):
        self.state.apply(store.Removal(KEY, 6), LEFT_AT_MS)
        self.state.apply(store.Item(KEY, entry(), 7), LEFT_AT_MS + 1)
        self.restore(self.copied())
        self.assertEqual(['i-1'], self.ready_servers())

    def test_further_reads_do_not_prolong_a_hold(self):
        self.state.apply(store.Removal(KEY, 6), LEFT_AT_MS)
        for now_ms in range(RESTORED_AT_MS, RESTORED_AT_MS + HOLD_MS, 900):
            self.restore(self.copied(), now_ms=now_ms)
        self.state.expire(RESTORED_AT_MS + HOLD_MS)
        self.assertEqual(['i-1'], self.ready_servers())

    def test_second_restore_starts_the_hold_again(self):
        self.state.apply(store.Removal(KEY, 6), LEFT_AT_MS)
        self.restore(self.copied())
        second_ms = RESTORED_AT_MS + HOLD_MS - 1_000
        self.restore(self.copied(era=2), era=2, now_ms=second_ms)
        self.state.expire(second_ms + HOLD_MS - 1)
        self.assertEqual((), self.state.servers())

    def test_earlier_incarnation_of_a_server_stays_away(self):
        restarted = entry(born=1_788_000_009_000)
        self.state.apply(store.Item(KEY, restarted, 6), LEFT_AT_MS)
        self.restore(self.copied())
        self.assertEqual(
            [1_788_000_009_000],
            [server.born_ms for server in self.state.servers()],
        )

    def test_server_that_the_copy_lacks_has_time_to_write_again(self):
        self.restore(store.Item('other', b'', revisions.pack(1, 1)))
        self.assertEqual(['i-1'], self.ready_servers())
        grace_end_ms = RESTORED_AT_MS + registry.EXPIRY_GRACE_MS
        self.state.expire(grace_end_ms - 1)
        self.assertEqual(['i-1'], self.ready_servers())
        self.state.expire(grace_end_ms)
        self.assertEqual((), self.state.servers())

    def test_server_that_is_removed_after_the_restore_is_gone_at_once(self):
        self.restore(self.copied())
        removal = store.Removal(KEY, revisions.pack(1, 3))
        self.state.apply(removal, RESTORED_AT_MS + 1)
        self.assertEqual((), self.state.servers())

    def test_complete_read_without_a_held_entry_ends_the_hold(self):
        self.state.apply(store.Removal(KEY, 6), LEFT_AT_MS)
        self.restore(self.copied())
        self.state.replace((), revisions.pack(1, 3), RESTORED_AT_MS + 1)
        self.state.expire(RESTORED_AT_MS + HOLD_MS)
        self.assertEqual((), self.state.servers())

    def test_server_that_may_have_expired_in_an_outage_is_used(self):
        now_ms = RESTORED_AT_MS - 500
        self.state.start_grace_period(now_ms)
        self.state.apply(store.Removal(KEY, 6), now_ms)
        self.restore(self.copied())
        self.state.expire(RESTORED_AT_MS + 2_000)
        self.assertEqual(['i-1'], self.ready_servers())

    def test_server_that_only_the_first_of_two_copies_lacks_is_used(self):
        self.state.replace((), revisions.pack(1, 1), RESTORED_AT_MS)
        self.restore(self.copied(era=2), era=2, now_ms=RESTORED_AT_MS + 1_000)
        self.state.expire(RESTORED_AT_MS + 3_000)
        self.assertEqual(['i-1'], self.ready_servers())

    def test_leaving_server_that_goes_after_an_outage_stays_away(self):
        self.state.apply(store.Item(KEY, entry('draining'), 6), LEFT_AT_MS)
        self.state.start_grace_period(LEFT_AT_MS)
        self.state.apply(store.Removal(KEY, 7), LEFT_AT_MS)
        self.restore(self.copied())
        self.assertEqual([], self.ready_servers())

    def test_server_that_is_removed_soon_after_a_restore_stays_away(self):
        self.restore(self.copied())
        removal = store.Removal(KEY, revisions.pack(1, 3))
        self.state.apply(removal, RESTORED_AT_MS + 500)
        self.restore(self.copied(era=2), era=2, now_ms=RESTORED_AT_MS + 2_000)
        self.state.expire(RESTORED_AT_MS + 2_000)
        self.assertEqual((), self.state.servers())

    def test_server_that_stays_away_after_an_outage_has_left(self):
        self.state.start_grace_period(LEFT_AT_MS)
        self.state.apply(store.Removal(KEY, 6), LEFT_AT_MS)
        self.state.expire(LEFT_AT_MS + registry.EXPIRY_GRACE_MS)
        self.restore(self.copied())
        self.assertEqual((), self.state.servers())

    def test_entry_written_before_the_copy_was_read_is_used(self):
        self.state.apply(store.Removal(KEY, 6), LEFT_AT_MS)
        written = store.Item(KEY, entry(), revisions.pack(1, 3))
        self.restore(written, number=5)
        self.assertEqual(['i-1'], self.ready_servers())

    def test_departures_are_forgotten(self):
        known = departures.Departures(HEARTBEAT_MS)
        (server,) = self.state.servers()
        known.record(server, 0)
        known.record_restore(9)
        self.assertTrue(known.holds_back(server, 1, 1))
        known.record(server, 0)
        later_ms = departures.REMEMBERED_MS + 1
        self.assertFalse(known.holds_back(server, 1, later_ms))
