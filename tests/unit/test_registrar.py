"""A stopping host leaves the list of hosts and does not come back to it."""

import unittest
from unittest import mock

from returns.result import Failure
from returns.result import Success

from cardamomdeal.entry import main
from cardamomdeal.entry import messages
from cardamomdeal.entry import registrar
from cardamomdeal.fleet import model
from cardamomdeal.internal import address
from cardamomdeal.platform import errors
from cardamomdeal.platform import store

OWN = address.Address('10.0.0.1', 7_200)
HOST = model.EntryHost('host-1', 1, 'r', 'a', OWN, OWN, 10.0)
LEASE = store.Lease(7, 4_000)
STORE_TIMEOUT_MS = main.STORE_TIMEOUT_MS


class RegistrarTest(unittest.TestCase):
    def setUp(self):
        self.client = mock.Mock(spec=store.StoreClient)
        self.client.grant_lease.return_value = Success(LEASE)
        self.client.write.return_value = Success(3)
        self.client.revoke_lease.return_value = Success(None)
        self.timers = mock.Mock()
        self.registrar = registrar.Registrar(HOST, self.client, self.timers)
        self.registrar.receive(messages.Register())
        self.client.reset_mock()

    def test_late_register_message_does_not_undo_the_unregistration(self):
        # The synchronizer may send one before it knows of the stop. Callers
        # were then sent to the stopped host until its lease expired.
        self.registrar.receive(messages.Unregister())
        self.registrar.receive(messages.Register())
        self.registrar.receive(messages.Tick())
        self.client.revoke_lease.assert_called_once_with(LEASE)
        self.client.grant_lease.assert_not_called()
        self.client.write.assert_not_called()

    def test_lease_from_before_a_restore_is_not_registered_with(self):
        # The store may have given its ID to another host since, whose stop
        # then removed the entry of this one.
        new_lease = store.Lease(LEASE.lease_id, 4_000, era=1)
        self.client.renew_lease.return_value = Success(new_lease)
        self.client.grant_lease.return_value = Success(store.Lease(8, 4_000))
        self.registrar.receive(messages.RegistrationLost())
        self.client.grant_lease.assert_called_once()
        self.assertEqual(8, self.client.write.call_args.kwargs['lease_id'])

    def test_store_that_refuses_a_renewal_is_not_written_to(self):
        # A host that the store turned away wrote its entry after each failed
        # renewal, although the lease of the entry was not known to hold.
        self.client.renew_lease.return_value = Failure(
            errors.PlatformUnavailable('status 503')
        )
        self.registrar.receive(messages.RegistrationLost())
        for _ in range(3):
            self.registrar.receive(messages.Tick())
        self.client.write.assert_not_called()
        self.client.renew_lease.return_value = Success(LEASE)
        self.registrar.receive(messages.Tick())
        self.client.write.assert_called_once()

    def test_entry_that_expired_with_its_lease_is_written_at_once(self):
        self.client.renew_lease.return_value = Failure(
            errors.NotFound('lease')
        )
        self.registrar.receive(messages.RegistrationLost())
        self.client.grant_lease.assert_called_once()
        self.client.write.assert_called_once()

    def test_renewal_has_two_attempts_before_the_lease_expires(self):
        attempt_ms = registrar.RENEWAL_INTERVAL_MS + STORE_TIMEOUT_MS
        attempt_ms += registrar.RETRY_DELAY_MS
        self.assertLess(attempt_ms, registrar.LEASE_MS)
        self.client.renew_lease.return_value = Failure(
            errors.PlatformUnavailable('silent')
        )
        for result, delay_ms in (
            (Failure(errors.PlatformError('x')), registrar.RETRY_DELAY_MS),
            (Success(LEASE), registrar.RENEWAL_INTERVAL_MS),
        ):
            self.client.renew_lease.return_value = result
            self.registrar.receive(messages.Tick())
            _, _, scheduled_ms = self.timers.after.call_args.args
            self.assertEqual(delay_ms, scheduled_ms)

    def test_failed_unregistration_is_repeated(self):
        self.client.revoke_lease.return_value = Failure(
            errors.PlatformUnavailable('silent')
        )
        self.registrar.receive(messages.Unregister())
        self.client.revoke_lease.return_value = Success(None)
        for _ in range(3):
            self.registrar.receive(messages.Tick())
        self.assertEqual(2, self.client.revoke_lease.call_count)
        self.client.renew_lease.assert_not_called()

    def test_unregistration_ends_when_the_lease_has_expired(self):
        self.client.revoke_lease.return_value = Failure(
            errors.NotFound('lease')
        )
        self.registrar.receive(messages.Unregister())
        self.registrar.receive(messages.Tick())
        self.client.revoke_lease.assert_called_once_with(LEASE)
