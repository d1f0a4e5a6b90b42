"""Keeps the proof of this host's configuration and exchanges it."""

import logging
import random
from typing import Protocol

from cardamomdeal.channels import datagrams
from cardamomdeal.entry import messages
from cardamomdeal.fleet import model
from cardamomdeal.fleet import proof_exchange
from cardamomdeal.internal import address
from cardamomdeal.protocol import messages as protocol
from cardamomdeal.settings import model as settings_model
from cardamomdeal.workspaces import proof

Sends = list[datagrams.SendTo]

log = logging.getLogger(__name__)


class ConfigurationState(Protocol):
    """What the proof is about."""

    # Revision that wrote the configuration in force.
    applied_revision: int | None
    # Revision that last wrote the configuration's entry.
    configuration_revision: int | None

    @property
    def has_workspaces(self) -> bool:
        """Return whether the configuration in force has workspaces."""


class ProofKeeper:
    """Proof of one host: where it comes from and who is told of it.

    It sends nothing itself: its owner sends what it returns. Without
    workspaces, or where revocations need not fail closed, it returns nothing.
    """

    def __init__(
        self,
        settings: settings_model.EntrySettings,
        host: model.EntryHost,
        state: ConfigurationState,
        rng: random.Random,
    ) -> None:
        self._bounds = settings.bounds
        self._state = state
        self._proof = proof.ConfigurationProof(settings.bounds)
        self._exchange = proof_exchange.ProofExchange(host, rng)
        self._told: proof.Proof | None = None
        self._was_valid = False

    def set_settings(self, settings: settings_model.EntrySettings) -> None:
        """Use the bounds of settings that were read again."""
        self._bounds = settings.bounds
        self._proof.set_bounds(settings.bounds)

    def set_hosts(self, hosts: tuple[model.EntryHost, ...]) -> None:
        """Replace the entry hosts that are present."""
        self._exchange.set_hosts(hosts)

    @property
    def _is_needed(self) -> bool:
        return self._bounds.fail_closed and self._state.has_workspaces

    def wants_store_answer(self, now_ms: int) -> bool:
        """Return whether this host must soon get a proof from the store."""
        return self._is_needed and proof_exchange.needs_store_read(
            self._proof.age_ms(now_ms), self._revoke_ms
        )

    def record_store_answer(self, asked_at_ms: int) -> None:
        """Record that the view was complete when the store was asked."""
        revision = self._state.configuration_revision
        if revision is not None:
            self._proof.record(proof.Proof(revision, asked_at_ms))

    def record_reply(self, reply: protocol.ProofReply) -> None:
        """Record the proof of another host."""
        proved_at_ms = self._exchange.proved_at_ms(reply.nonce, reply.age_ms)
        if proved_at_ms is not None:
            self._proof.record(proof.Proof(reply.revision, proved_at_ms))

    def answer(
        self,
        sender: address.Address,
        request: protocol.ProofRequest,
        now_ms: int,
    ) -> Sends:
        """Return the reply to another host, if it is worth sending."""
        current, age_ms = self._proof.current, self._proof.age_ms(now_ms)
        if current is None or age_ms is None or not self._is_needed:
            return []
        if not self._proof.is_valid(now_ms):
            return []
        if not proof_exchange.is_worth_sending(age_ms, request.age_ms):
            return []
        reply = protocol.ProofReply(request.nonce, current.revision, age_ms)
        return [datagrams.SendTo((sender,), reply)]

    def ask(
        self,
        reads_store: bool,
        relays: tuple[model.EntryHost, ...],
        readers: list[str],
        now_ms: int,
    ) -> Sends:
        """Return the question to other hosts that is due, if any."""
        if not self._is_needed:
            return []
        self._log_validity(now_ms)
        age_ms = self._proof.age_ms(now_ms)
        question = self._exchange.ask(
            proof_exchange.Situation(
                age_ms, self._revoke_ms, reads_store, relays, readers
            ),
            now_ms,
        )
        if question is None:
            return []
        targets = tuple(host.peers for host in question.targets)
        request = protocol.ProofRequest(question.nonce, age_ms)
        return [datagrams.SendTo(targets, request)]

    def pop_update(self, now_ms: int) -> messages.ProofUpdated | None:
        """Return the proof for the dispatcher if it is newer than the last.

        The owner must have sent the routes that are in force before.
        """
        if self._state.applied_revision is not None:
            self._proof.record_applied(self._state.applied_revision)
        if not self._is_needed or self._proof.current == self._told:
            return None
        self._told = self._proof.current
        self._log_validity(now_ms)
        return self._told and messages.ProofUpdated(self._told)

    @property
    def _revoke_ms(self) -> int:
        return self._bounds.revoke_ms or 0

    def _log_validity(self, now_ms: int) -> None:
        is_valid = self._proof.is_valid(now_ms)
        if is_valid == self._was_valid:
            return
        self._was_valid = is_valid
        extra = {
            'proof_age_ms': self._proof.age_ms(now_ms),
            'revision': self._state.applied_revision,
        }
        if is_valid:
            log.info('configuration proof gained', extra=extra)
        else:
            extra['reason'] = self._proof.reason(now_ms)
            log.warning('configuration proof lost', extra=extra)
