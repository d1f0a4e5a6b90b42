"""Operations of the administration API."""

import dataclasses
import json
import secrets
from typing import Any

import pykka
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cardamomdeal.admin import changes
from cardamomdeal.admin import errors
from cardamomdeal.admin import messages
from cardamomdeal.admin import schema
from cardamomdeal.configuration import records
from cardamomdeal.document import check
from cardamomdeal.document import errors as document_errors
from cardamomdeal.internal import errors as base_errors
from cardamomdeal.protocol import messages as protocol
from cardamomdeal.settings import model
from cardamomdeal.telemetry import histograms

TRIAL = 'trial'
PRODUCTION = 'production'
AGENT_TIMEOUT_S = 2.0
# A change accesses several keys, and each access may take the store's
# whole time limit.
STORE_TIMEOUT_FACTOR = 4
PERCENTILES = (50.0, 90.0, 99.0, 99.9)

OperationResult = Result[Any, base_errors.CardamomdealError]


class Operations:
    """Operations that the administration API offers to operators."""

    def __init__(
        self,
        settings: model.AdminSettings,
        store: pykka.ActorRef[Any],
        agent_client: pykka.ActorRef[Any],
    ) -> None:
        self._settings = settings
        self._store = store
        self._agent_client = agent_client
        self._store_timeout_s = (
            settings.store_timeout_ms * STORE_TIMEOUT_FACTOR / 1000
        )

    def check(self, body: schema.CheckBody) -> OperationResult:
        """Check a document and return its digest."""
        return _check_and_encode(body.document).map(
            lambda canonical: {'digest': check.digest_of(canonical)}
        )

    def try_document(self, body: schema.TrialBody) -> OperationResult:
        """Check a document and apply it to the trial environment."""
        match _check_and_encode(body.document):
            case Success(canonical):
                digest = check.digest_of(canonical)
                change = changes.RequestedChange(
                    TRIAL, digest, body.change_id, body.expected_version
                )
                return self._apply_change(change, canonical)
            case failure:
                return failure

    def promote(self, body: schema.PromoteBody) -> OperationResult:
        """Apply a document that is active in trial to production."""
        change = changes.RequestedChange(
            PRODUCTION, body.digest, body.change_id, body.expected_version
        )
        match self._was_accepted(change):
            case Success(True):
                pass
            case Success(False):
                rejection = self._rejection_if_not_in_trial(body.digest)
                if rejection is not None:
                    return Failure(rejection)
            case failure:
                return failure
        match self._ask_store(messages.ReadDocument(body.digest)):
            case Success(str(text)):
                return self._apply_change(change, text.encode())
            case Success(_):
                return Failure(
                    errors.ChangeRejected(
                        f'digest: no document {body.digest} is stored'
                    )
                )
            case failure:
                return failure

    def show(self, environment: str) -> OperationResult:
        """Return the record and the document of an environment."""
        match self._ask_store(messages.ReadRecord(environment)):
            case Success(changes.StoredRecord(record, _)):
                return self._read_with_document(record)
            case failure:
                return failure

    def status(self, environment: str) -> OperationResult:
        """Return the state of an environment's hosts and backend servers."""
        return self._request_status(environment).map(_status_body)

    def histograms(self, environment: str) -> OperationResult:
        """Return the latencies of all hosts by tenant and work class."""
        match self._request_status(environment):
            case Success(status):
                pass
            case failure:
                return failure
        replies = [
            self._send_request(
                host.address, protocol.HistogramRequest(secrets.token_hex(8))
            )
            for host in (status.host, *status.peers)
        ]
        host_histograms: list[protocol.LatencyHistogram] = []
        silent_hosts = 0
        for reply in replies:
            try:
                host_histograms.extend(
                    reply.get(timeout=AGENT_TIMEOUT_S).histograms
                )
            except pykka.Timeout:
                silent_hosts += 1
        return Success(_histogram_body(tuple(host_histograms), silent_hosts))

    def drain(self, environment: str, host: str) -> OperationResult:
        """Stop the gateways of a host gracefully."""
        match self._request_status(environment):
            case Success(status):
                pass
            case failure:
                return failure
        for record in (status.host, *status.peers):
            if record.host == host:
                return self._request_agent(
                    record.address, protocol.DrainHost(secrets.token_hex(8))
                ).map(lambda _: {'draining': host})
        return Failure(
            errors.ChangeRejected(f'host: {host} is not among the live hosts')
        )

    def _apply_change(
        self, change: changes.RequestedChange, canonical: bytes
    ) -> OperationResult:
        match self._ask_store(messages.ApplyChange(change, canonical)):
            case Success(records.Change() as accepted):
                head = protocol.Head(accepted.version, accepted.digest)
                # Sent directly, so that the hosts receive it even if the
                # store fails now.
                self._agent_client.tell(
                    messages.OfferDocument(
                        change.environment,
                        protocol.DocumentOffer(head, canonical),
                    )
                )
                return Success(dataclasses.asdict(accepted))
            case failure:
                return failure

    def _was_accepted(
        self, change: changes.RequestedChange
    ) -> Result[bool, base_errors.CardamomdealError]:
        return self._ask_store(messages.ReadRecord(change.environment)).map(
            lambda stored: (
                stored.record.find_change(change.change_id) is not None
            )
        )

    def _rejection_if_not_in_trial(
        self, digest: str
    ) -> errors.AdminError | None:
        match self._request_status(TRIAL):
            case Success(status):
                pass
            case Failure(error):
                return errors.ChangeRejected(
                    f'digest: the trial environment does not answer: {error}'
                )
        outdated_hosts = [
            host.host
            for host in (status.host, *status.peers)
            if not host.ready
            or host.head is None
            or host.head.digest != digest
        ]
        if outdated_hosts:
            return errors.ChangeRejected(
                f'digest: {digest[:12]} is not in force on trial hosts '
                f'{", ".join(outdated_hosts)}; try this document first'
            )
        return None

    def _read_with_document(
        self, record: records.EnvironmentRecord
    ) -> OperationResult:
        body = dataclasses.asdict(record)
        if not record.version:
            return Success({**body, 'document': None})
        return self._ask_store(messages.ReadDocument(record.digest)).map(
            lambda text: {**body, 'document': json.loads(text)}
        )

    def _request_status(
        self, environment: str
    ) -> Result[protocol.AgentStatus, errors.AdminError]:
        agent = self._settings.agents.get(environment)
        if agent is None:
            return Failure(
                errors.ChangeRejected(
                    f'environment: {environment} has no agent in the settings'
                )
            )
        return self._request_agent(
            str(agent), protocol.StatusRequest(secrets.token_hex(8))
        )

    def _request_agent(self, address: str, request: Any) -> Any:
        try:
            return Success(
                self._send_request(address, request).get(
                    timeout=AGENT_TIMEOUT_S
                )
            )
        except pykka.Timeout:
            return Failure(
                errors.StoreUnavailable(f'agent {address} does not answer')
            )

    def _send_request(self, address: str, request: Any) -> pykka.Future[Any]:
        reply = pykka.ThreadingFuture()
        self._agent_client.tell(
            messages.SendRequest(address, request, request.request_id, reply)
        )
        return reply

    def _ask_store(self, message: Any) -> Any:
        try:
            return self._store.ask(message, timeout=self._store_timeout_s)
        except pykka.Timeout:
            return Failure(
                errors.ChangeOutcomeUnknown(
                    'the store is slow; send the same change_id again'
                )
            )


def _check_and_encode(
    document: dict[str, Any],
) -> Result[bytes, document_errors.DocumentError]:
    match check.check_document(document):
        case Success(_):
            return Success(check.canonical_bytes(document))
        case Failure(problems):
            return Failure(document_errors.DocumentRejected(problems))


def _status_body(status: protocol.AgentStatus) -> dict[str, Any]:
    return {
        'hosts': [
            {
                'host': record.host,
                'agent': record.agent.name,
                'data_centre': record.data_centre,
                'version': record.head.version if record.head else 0,
                'digest': record.head.digest if record.head else None,
                'ready': record.ready,
                'gateways': [
                    {
                        'name': gateway.incarnation.name,
                        'address': gateway.address,
                        'version': gateway.document_version,
                        'in_flight': gateway.in_flight,
                        'stopping': gateway.stopping,
                    }
                    for gateway in record.gateways
                ],
            }
            for record in (status.host, *status.peers)
        ],
        'cut_peers': list(status.cut_peers),
        'servers': [
            {
                'server': state.server,
                'ejected': state.ejected,
                'leaving': state.leaving,
                'weight': state.weight,
            }
            for state in status.states
        ],
        'counters': status.counters,
    }


def _histogram_body(
    host_histograms: tuple[protocol.LatencyHistogram, ...], silent_hosts: int
) -> dict[str, Any]:
    return {
        'silent_hosts': silent_hosts,
        'latencies': [
            {
                'tenant': tenant,
                'work_class': work_class,
                'requests': histogram.get_total_count(),
                'max_ms': histogram.get_max_value(),
                **{
                    f'p{percentile:g}_ms': histogram.get_value_at_percentile(
                        percentile
                    )
                    for percentile in PERCENTILES
                },
            }
            for (tenant, work_class), histogram in sorted(
                histograms.merge(host_histograms).items()
            )
        ],
    }
