"""Arranges the lending and the borrowing of quota tokens at a host."""

import collections
from collections.abc import Iterable
import random

from cardamomdeal.channels import datagrams
from cardamomdeal.entry import quota_borrowing
from cardamomdeal.entry import quota_hosts
from cardamomdeal.entry import quota_lending
from cardamomdeal.fleet import model
from cardamomdeal.internal import address
from cardamomdeal.protocol import messages as protocol
from cardamomdeal.settings import model as settings_model
from cardamomdeal.workspaces import allowance
from cardamomdeal.workspaces import model as workspace_model
from cardamomdeal.workspaces import token_holder

UPKEEP_INTERVAL_MS = 200


class QuotaKeeper:
    """Lends and borrows tokens for the dispatcher, which owns it.

    It sends nothing itself: its owner sends what `pop_sends` returns, and
    calls `wake` when that is due.
    """

    def __init__(
        self,
        settings: settings_model.EntrySettings,
        rng: random.Random,
        started_ms: int,
    ) -> None:
        self._bounds = settings.bounds
        self._workspaces: dict[int, workspace_model.Workspace] = {}
        self.counters: collections.Counter[str] = collections.Counter()
        self._hosts = quota_hosts.QuotaHosts(settings, rng, started_ms)
        self._borrowing = quota_borrowing.QuotaBorrowing(
            self._hosts, rng, self.counters
        )
        self._lending = quota_lending.QuotaLending(
            self._hosts,
            self._find_limit,
            self._borrowing.receive_answer,
            self.counters,
        )
        self._upkeep_at_ms = 0

    def set_bounds(self, bounds: settings_model.Bounds) -> None:
        """Replace the bounds of the platform."""
        self._bounds = bounds

    def set_workspaces(
        self, workspaces: Iterable[workspace_model.Workspace]
    ) -> None:
        """Replace the workspaces of the configuration in force."""
        self._workspaces = {
            workspace.number: workspace
            for workspace in workspaces
            if workspace.quota is not None
        }

    def set_hosts(
        self,
        hosts: tuple[model.EntryHost, ...],
        confirmed_at_ms: int | None,
        now_ms: int,
    ) -> None:
        """Replace the hosts, as of the last confirmation of the view."""
        self._hosts.set_hosts(hosts, confirmed_at_ms, now_ms)

    def stop(self) -> None:
        """Lend no more tokens, as this host is stopping."""
        self._hosts.stop()

    def request(
        self,
        request_number: int,
        workspace: workspace_model.Workspace | None,
        now_ms: int,
    ) -> token_holder.Decision | None:
        """Decide on a request; return None if it has no quota."""
        limit = workspace and allowance.allowance(workspace, self._bounds)
        if limit is None:
            return None
        decision = self._borrowing.request(request_number, limit, now_ms)
        match decision:
            case token_holder.Asked():
                # This host itself may lend the token.
                self._ask_itself(now_ms)
                return self._borrowing.pop_decision(request_number)
            case _:
                return decision

    def withdraw(
        self, request_number: int, workspace: workspace_model.Workspace | None
    ) -> None:
        """Forget a request that waits, as its caller has left."""
        if workspace is not None and workspace.quota is not None:
            self._borrowing.withdraw(request_number, workspace.number)

    def give_back(self, token: token_holder.Token, now_ms: int) -> None:
        """Take back the token of a request that no server ran."""
        self._borrowing.give_back(token, now_ms)

    @property
    def has_decided(self) -> bool:
        """Return whether it was decided on requests that wait."""
        return self._borrowing.has_decided

    def pop_decided(self) -> list[quota_borrowing.Decided]:
        """Return the requests on which it was decided since."""
        return self._borrowing.pop_decided()

    @property
    def has_sends(self) -> bool:
        """Return whether there are messages to send."""
        return self._hosts.has_sends or self._borrowing.has_messages

    def pop_sends(self, now_ms: int) -> list[datagrams.SendTo]:
        """Return the messages to send now."""
        self._ask_itself(now_ms)
        self._borrowing.flush(now_ms)
        return self._hosts.pop_sends()

    def next_event_at_ms(self) -> int | None:
        """Return when `wake` is to be called, or None if nothing is due."""
        times_ms = [
            self._borrowing.next_event_at_ms(),
            self._lending.next_event_at_ms(),
        ]
        if self._borrowing.is_active or self._lending.is_active:
            times_ms.append(self._upkeep_at_ms)
        return min(
            (at_ms for at_ms in times_ms if at_ms is not None), default=None
        )

    def wake(self, now_ms: int) -> None:
        """Do what is due."""
        self._borrowing.wake(now_ms)
        self._lending.answer_waiting(now_ms)
        if now_ms >= self._upkeep_at_ms:
            self._upkeep_at_ms = now_ms + UPKEEP_INTERVAL_MS
            self._borrowing.upkeep(now_ms)
            self._lending.upkeep(now_ms)
            if self._lending.is_active:
                self._hosts.probe(now_ms)

    def receive(
        self,
        sender: address.Address,
        message: protocol.QuotaMessage,
        now_ms: int,
    ) -> None:
        """Handle a message of another host."""
        match message:
            case protocol.QuotaQuestions():
                self._lending.receive_questions(sender, message, now_ms)
            case protocol.QuotaAnswers():
                self._borrowing.receive_answers(message, now_ms)
            case protocol.LendingRequest():
                self._lending.answer_request(sender, message, now_ms)
            case protocol.LendingConsent():
                self._lending.receive_consent(sender, message, now_ms)

    @property
    def outstanding_tokens(self) -> int:
        """Return the tokens lent by this host that count as used."""
        return self._lending.outstanding_tokens

    def metrics(self) -> dict[str, int]:
        """Return counters; only the largest workspaces have their own."""
        if not self.counters:
            return {}
        return {
            **self.counters,
            **self._borrowing.denied_by_workspace(),
            'quota.tokens_outstanding': self.outstanding_tokens,
            'quota.tokens_held': self._borrowing.held_tokens,
        }

    def _find_limit(self, number: int) -> allowance.Allowance | None:
        workspace = self._workspaces.get(number)
        return workspace and allowance.allowance(workspace, self._bounds)

    def _ask_itself(self, now_ms: int) -> None:
        message = self._borrowing.pop_own_questions(now_ms)
        if message is not None:
            self._lending.receive_questions(
                self._hosts.own_address, message, now_ms
            )
