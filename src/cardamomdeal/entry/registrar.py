"""Actor that publishes this host under a lease."""

import logging
from typing import Any

from returns.result import Failure
from returns.result import Success

from cardamomdeal.entry import messages
from cardamomdeal.fleet import model
from cardamomdeal.internal import actor
from cardamomdeal.internal import ticker
from cardamomdeal.platform import entries
from cardamomdeal.platform import errors
from cardamomdeal.platform import store
from cardamomdeal.platform import wire

# A host that died is handed out to callers for at most this long.
LEASE_MS = 4_000
# Leaves time for a second try before the lease runs out.
KEEP_INTERVAL_MS = 1_300

log = logging.getLogger(__name__)


class Registrar(actor.Actor):
    """Own this host's lease and the connection that keeps it."""

    def __init__(
        self, host: model.EntryHost, client: store.StoreClient
    ) -> None:
        super().__init__()
        self._host = host
        self._client = client
        self._wanted = False
        self._lease: store.Lease | None = None
        self._written = False

    def on_start(self) -> None:
        """Begin to renew the lease."""
        self._ticker = ticker.Ticker(
            self.actor_ref, messages.Tick(), KEEP_INTERVAL_MS
        )
        self._ticker.start()

    def on_stop(self) -> None:
        """Stop renewing and close the connection."""
        self._ticker.stop()
        self._client.close()

    def receive(self, message: Any) -> None:
        """Handle one message."""
        match message:
            case messages.Register():
                if not self._wanted:
                    self._wanted = True
                    self._publish()
            case messages.RegistrationLost():
                self._written = False
                self._publish()
            case messages.Unregister():
                self._withdraw()
            case messages.SettingsInForce(settings):
                self._client.set_address(settings.store)
            case messages.Tick():
                self._renew()

    def _renew(self) -> None:
        if not self._wanted:
            return
        if self._lease is not None:
            match self._client.renew_lease(self._lease):
                case Failure(errors.NotFound()):
                    log.warning('lease lost; publishing this host again')
                    self._lease = None
                    self._written = False
                case Failure(error):
                    log.warning(
                        'lease not renewed', extra={'reason': str(error)}
                    )
        self._publish()

    def _publish(self) -> None:
        if not self._wanted or self._written:
            return
        if self._lease is None:
            match self._client.grant_lease(LEASE_MS):
                case Success(lease):
                    self._lease = lease
                case Failure(error):
                    log.warning('no lease', extra={'reason': str(error)})
                    return
        written = self._client.write(
            wire.ENTRY_HOSTS_PREFIX + self._host.name,
            entries.write_host(self._host),
            lease_id=self._lease.lease_id,
        )
        match written:
            case Success(revision):
                self._written = True
                log.info('host published', extra={'revision': revision})
            case Failure(errors.NotFound()):
                self._lease = None
            case Failure(error):
                log.warning('host not published', extra={'reason': str(error)})

    def _withdraw(self) -> None:
        self._wanted = False
        if self._lease is None:
            return
        match self._client.revoke_lease(self._lease):
            case Success(_):
                log.info('host withdrawn')
            case Failure(error):
                log.warning('host not withdrawn', extra={'reason': str(error)})
        self._lease = None
        self._written = False
