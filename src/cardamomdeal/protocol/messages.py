"""Messages that the processes of the fleet exchange."""

from typing import Literal

import msgspec


class Message(msgspec.Struct, frozen=True, tag=True):
    """Base of every inner message."""


class Head(msgspec.Struct, frozen=True, array_like=True):
    """Name the configuration that is in force."""

    version: int
    digest: str


class Incarnation(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Name one life of one process."""

    name: str
    started_ms: int


class GatewayRecord(msgspec.Struct, frozen=True, array_like=True):
    """Describe one gateway to the directories."""

    incarnation: Incarnation
    address: str
    work_classes: tuple[str, ...]
    stopping: bool
    ready: bool
    in_flight: int
    threads: int
    document_version: int


class HostRecord(msgspec.Struct, frozen=True, array_like=True):
    """Describe one entry host; its agent raises the revision."""

    agent: Incarnation
    revision: int
    host: str
    data_centre: str
    address: str
    head: Head | None
    ready: bool
    gateways: tuple[GatewayRecord, ...]
    draining_servers: tuple[str, ...]


class ServerEvidence(msgspec.Struct, frozen=True, array_like=True):
    """Count what one interval of real work showed of a backend server.

    `latencies` counts answers by the binary logarithm of their milliseconds.
    """

    server: str
    work_kind: str
    successes: int
    failures: int
    refusals: int
    latencies: tuple[int, ...]


class LatencyHistogram(msgspec.Struct, frozen=True, array_like=True):
    """Carry one encoded latency histogram."""

    tenant: str
    work_class: str
    encoded: bytes


class ServerState(msgspec.Struct, frozen=True, array_like=True):
    """Describe how much work a backend server is to get."""

    server: str
    ejected: bool
    leaving: bool
    weight: float


class GatewayReport(Message, frozen=True):
    """Tell the agent about one gateway and ask for server states."""

    record: GatewayRecord
    asked_at_ms: int
    evidence: tuple[ServerEvidence, ...]
    draining_servers: tuple[str, ...]


class ServerStates(Message, frozen=True):
    """Answer a report with each backend server not in its normal state."""

    asked_at_ms: int
    valid_for_ms: int
    states: tuple[ServerState, ...]


class GatewayHistograms(Message, frozen=True):
    """Hand the agent the latency histograms of one gateway."""

    gateway: str
    histograms: tuple[LatencyHistogram, ...]


class StopGateway(Message, frozen=True):
    """Tell a gateway to stop gracefully."""


class DocumentOffer(Message, frozen=True):
    """Carry a document together with the head that names it."""

    head: Head
    document: bytes


class DocumentRequest(Message, frozen=True):
    """Ask for the document that is in force."""

    known_version: int


class DirectoryQuery(Message, frozen=True):
    """Ask an agent for the gateways of the fleet."""

    directory: str


class DirectoryView(Message, frozen=True):
    """Answer a directory with the hosts that are live."""

    hosts: tuple[HostRecord, ...]


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """Tell that an agent was alive; only it raises the sequence."""

    agent: Incarnation
    sequence: int
    revision: int


class Gossip(Message, frozen=True):
    """Tell a peer about this host and the heartbeats of all others."""

    asked_at_ms: int
    sender: HostRecord
    heartbeats: tuple[Heartbeat, ...]


class GossipReply(Message, frozen=True):
    """Answer gossip, so that the sender knows the path works."""

    asked_at_ms: int
    sender: HostRecord
    heartbeats: tuple[Heartbeat, ...]


class RecordsRequest(Message, frozen=True):
    """Ask for the records of some agents' hosts."""

    agents: tuple[str, ...]


class Records(Message, frozen=True):
    """Answer with the records that were asked for."""

    records: tuple[HostRecord, ...]


class EvidenceReport(Message, frozen=True):
    """Report evidence on a service and ask its judge for ejections."""

    reporter: str
    data_centre: str
    service: str
    asked_at_ms: int
    evidence: tuple[ServerEvidence, ...]


class HeldEjections(Message, frozen=True):
    """Answer with the ejections that the judge holds permits for."""

    judge: str
    service: str
    asked_at_ms: int
    ejected: tuple[str, ...]
    weights: dict[str, float]


class StatusRequest(Message, frozen=True):
    """Ask an agent for its status."""

    request_id: str


class AgentStatus(Message, frozen=True):
    """Answer with the status of one agent and what it knows of others."""

    request_id: str
    host: HostRecord
    peers: tuple[HostRecord, ...]
    cut_peers: tuple[str, ...]
    states: tuple[ServerState, ...]
    counters: dict[str, int]


class HistogramRequest(Message, frozen=True):
    """Ask an agent for the latency histograms of its gateways."""

    request_id: str


class HistogramReply(Message, frozen=True):
    """Answer with the latency histograms of an agent's gateways."""

    request_id: str
    histograms: tuple[LatencyHistogram, ...]


class DrainHost(Message, frozen=True):
    """Tell an agent to stop the gateways of its host gracefully."""

    request_id: str


class Done(Message, frozen=True):
    """Confirm that a request was carried out."""

    request_id: str


class StoreEntry(msgspec.Struct, frozen=True, array_like=True):
    """Carry one key of the store; no value means that it was removed."""

    key: str
    value: bytes | None
    revision: int


class StoreProgress(Message, frozen=True):
    """Tell how far a host has read the store, and how long ago."""

    host: str
    revision: int
    age_ms: int


class StoreChanges(Message, frozen=True):
    """Carry what changed in the store between two revisions."""

    host: str
    after_revision: int
    revision: int
    entries: tuple[StoreEntry, ...]


class StoreChangesRequest(Message, frozen=True):
    """Ask a host that read further for what changed since a revision."""

    host: str
    after_revision: int


class ViewRequest(Message, frozen=True):
    """Ask a host for all that it knows of the store."""

    host: str
    # Age of the asking host's own view; None if it has none.
    age_ms: int | None


class ViewPart(Message, frozen=True):
    """Carry a part of what a host knows of the store."""

    host: str
    revision: int
    age_ms: int
    number: int
    count: int
    entries: tuple[StoreEntry, ...]


class ServerFailed(Message, frozen=True):
    """Warn of a backend server that failed a request just now."""

    host: str
    server_id: str
    born_ms: int
    reason: str
    symptom: Literal['error', 'broken', 'silent', 'replaced']
    # What the sender was asked lately for the server's service.
    requests: int


class ServerLoad(Message, frozen=True):
    """Pass on the load that a backend server reported just now."""

    server_id: str
    born_ms: int
    running: int
    waiting: int
    slots: int


class ServerRecovered(Message, frozen=True):
    """Tell that a suspected backend server served a request just now."""

    host: str
    server_id: str
    born_ms: int


AnyMessage = (
    GatewayReport
    | ServerStates
    | GatewayHistograms
    | StopGateway
    | DocumentOffer
    | DocumentRequest
    | DirectoryQuery
    | DirectoryView
    | Gossip
    | GossipReply
    | RecordsRequest
    | Records
    | EvidenceReport
    | HeldEjections
    | StatusRequest
    | AgentStatus
    | HistogramRequest
    | HistogramReply
    | DrainHost
    | Done
    | StoreProgress
    | StoreChanges
    | StoreChangesRequest
    | ViewRequest
    | ViewPart
    | ServerFailed
    | ServerRecovered
    | ServerLoad
)
