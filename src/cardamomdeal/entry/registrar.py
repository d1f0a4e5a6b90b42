"""Actor that registers this host in the store under a lease."""

import logging
from typing import Any

from returns.result import Failure
from returns.result import Success

from cardamomdeal.entry import messages
from cardamomdeal.fleet import model
from cardamomdeal.internal import actor
from cardamomdeal.internal import scheduler
from cardamomdeal.platform import entries
from cardamomdeal.platform import errors
from cardamomdeal.platform import store
from cardamomdeal.platform import wire

# Callers are given the address of a crashed host for at most this time.
LEASE_MS = 4_000
# They leave time for a second attempt before the lease expires.
RENEWAL_INTERVAL_MS = 1_300
RETRY_DELAY_MS = 900

log = logging.getLogger(__name__)


class Registrar(actor.Actor):
    """Actor that owns this host's lease and the store client to renew it."""

    def __init__(
        self,
        host: model.EntryHost,
        client: store.StoreClient,
        timers: scheduler.Scheduler,
    ) -> None:
        super().__init__()
        self._timers = timers
        self._host = host
        self._client = client
        self._should_register = False
        self._is_stopping = False
        self._lease: store.Lease | None = None
        self._is_registered = False
        self._is_renewed = False

    def on_start(self) -> None:
        """Schedule the renewals of the lease."""
        self._schedule_tick()

    def on_stop(self) -> None:
        """Close the store client."""
        self._client.close()

    def receive(self, message: Any) -> None:
        """Handle one message."""
        match message:
            case messages.Register():
                if not self._should_register and not self._is_stopping:
                    self._should_register = True
                    self._register()
            case messages.RegistrationLost():
                self._is_registered = False
                self._renew()
            case messages.Unregister():
                self._is_stopping = True
                self._should_register = False
                self._unregister()
            case messages.SettingsUpdated(settings):
                self._client.set_address(settings.store)
            case messages.Tick():
                try:
                    self._tick()
                finally:
                    self._schedule_tick()

    def _tick(self) -> None:
        if self._is_stopping:
            self._unregister()
        else:
            self._renew()

    def _schedule_tick(self) -> None:
        is_settled = self._is_registered and self._is_renewed
        self._timers.after(
            self.actor_ref,
            messages.Tick(),
            RENEWAL_INTERVAL_MS if is_settled else RETRY_DELAY_MS,
        )

    def _renew(self) -> None:
        if not self._should_register:
            return
        if self._lease is not None:
            self._is_renewed = False
            match self._client.renew_lease(self._lease):
                case Success(renewed):
                    self._is_renewed = True
                    if (
                        not self._is_registered
                        and renewed.era > self._lease.era
                    ):
                        # Another host may have been given its ID since the
                        # store was restored.
                        self._lease = None
                case Failure(errors.NotFound()):
                    log.warning('lease not found; registering this host again')
                    self._lease = None
                    self._is_registered = False
                case Failure(error):
                    log.warning(
                        'cannot renew the lease', extra={'reason': str(error)}
                    )
                    # A write costs ten times as much and would fail as well.
                    return
        self._register()

    def _register(self) -> None:
        if not self._should_register or self._is_registered:
            return
        if self._lease is None:
            match self._client.grant_lease(LEASE_MS):
                case Success(lease):
                    self._lease = lease
                    self._is_renewed = True
                case Failure(error):
                    log.warning(
                        'cannot obtain a lease', extra={'reason': str(error)}
                    )
                    return
        result = self._client.write(
            wire.ENTRY_HOSTS_PREFIX + self._host.name,
            entries.write_host(self._host),
            lease_id=self._lease.lease_id,
        )
        match result:
            case Success(revision):
                self._is_registered = True
                log.info('host registered', extra={'revision': revision})
            case Failure(errors.NotFound()):
                self._lease = None
            case Failure(error):
                log.warning(
                    'cannot register this host', extra={'reason': str(error)}
                )

    def _unregister(self) -> None:
        """Revoke the lease; repeated at each tick until it is gone."""
        if self._lease is None:
            return
        match self._client.revoke_lease(self._lease):
            case Success(_) | Failure(errors.NotFound()):
                self._lease = None
                self._is_registered = False
                log.info('host unregistered')
            case Failure(error):
                log.warning(
                    'cannot unregister this host', extra={'reason': str(error)}
                )
