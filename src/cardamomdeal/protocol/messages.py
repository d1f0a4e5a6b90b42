"""Messages of the inner protocol, between the fleet's processes."""

from typing import Annotated
from typing import Literal

import msgspec


class Message(msgspec.Struct, frozen=True, tag=True):
    """Base class of all inner messages; the class name is the wire tag."""


class RevisionMessage(
    Message, frozen=True, tag=lambda class_name: class_name + '2'
):
    """Message with revisions that hold the store's era.

    The tag keeps hosts that order by the number alone from reading it.
    """


class Head(msgspec.Struct, frozen=True, array_like=True):
    """Version and digest of the configuration in force."""

    version: int
    digest: str


class Incarnation(msgspec.Struct, frozen=True, order=True, array_like=True):
    """One run of a process, identified by its name and start time."""

    name: str
    started_ms: int


class GatewayRecord(msgspec.Struct, frozen=True, array_like=True):
    """State of one gateway, as published to the directories."""

    incarnation: Incarnation
    address: str
    work_classes: tuple[str, ...]
    stopping: bool
    ready: bool
    in_flight: int
    threads: int
    document_version: int


class HostRecord(msgspec.Struct, frozen=True, array_like=True):
    """State of one entry host; only its agent increments the revision."""

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
    """Results of real traffic to a backend server during one interval.

    `latencies` counts responses by the binary logarithm of their latency in
    milliseconds.
    """

    server: str
    work_kind: str
    successes: int
    failures: int
    refusals: int
    latencies: tuple[int, ...]


class LatencyHistogram(msgspec.Struct, frozen=True, array_like=True):
    """Encoded latency histogram of one tenant and work class."""

    tenant: str
    work_class: str
    encoded: bytes


class ServerState(msgspec.Struct, frozen=True, array_like=True):
    """Ejection state and load-balancing weight of a backend server."""

    server: str
    ejected: bool
    leaving: bool
    weight: float


class GatewayReport(Message, frozen=True):
    """Report a gateway's state to its agent and request server states."""

    record: GatewayRecord
    asked_at_ms: int
    evidence: tuple[ServerEvidence, ...]
    draining_servers: tuple[str, ...]


class ServerStates(Message, frozen=True):
    """Reply to a GatewayReport: all servers not in their normal state."""

    asked_at_ms: int
    valid_for_ms: int
    states: tuple[ServerState, ...]


class GatewayHistograms(Message, frozen=True):
    """Latency histograms of one gateway, sent to its agent."""

    gateway: str
    histograms: tuple[LatencyHistogram, ...]


class StopGateway(Message, frozen=True):
    """Request that a gateway shut down gracefully."""


class DocumentOffer(Message, frozen=True):
    """Configuration document with its version and digest."""

    head: Head
    document: bytes


class DocumentRequest(Message, frozen=True):
    """Request the configuration document in force."""

    known_version: int


class DirectoryQuery(Message, frozen=True):
    """Request the fleet's gateways from an agent."""

    directory: str


class DirectoryView(Message, frozen=True):
    """Reply to a DirectoryQuery with the live entry hosts."""

    hosts: tuple[HostRecord, ...]


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """Liveness of an agent; only that agent increments the sequence."""

    agent: Incarnation
    sequence: int
    revision: int


class Gossip(Message, frozen=True):
    """Gossip round: the sender's record and all known heartbeats."""

    asked_at_ms: int
    sender: HostRecord
    heartbeats: tuple[Heartbeat, ...]


class GossipReply(Message, frozen=True):
    """Reply to Gossip; confirms to the sender that the path works."""

    asked_at_ms: int
    sender: HostRecord
    heartbeats: tuple[Heartbeat, ...]


class RecordsRequest(Message, frozen=True):
    """Request the host records of the given agents."""

    agents: tuple[str, ...]


class Records(Message, frozen=True):
    """Reply to a RecordsRequest with host records."""

    records: tuple[HostRecord, ...]


class EvidenceReport(Message, frozen=True):
    """Report results for a service and request ejections from its judge."""

    reporter: str
    data_centre: str
    service: str
    asked_at_ms: int
    evidence: tuple[ServerEvidence, ...]


class HeldEjections(Message, frozen=True):
    """Reply to an EvidenceReport: ejections the judge holds permits for."""

    judge: str
    service: str
    asked_at_ms: int
    ejected: tuple[str, ...]
    weights: dict[str, float]


class StatusRequest(Message, frozen=True):
    """Request the status of an agent."""

    request_id: str


class AgentStatus(Message, frozen=True):
    """Reply to a StatusRequest: the agent's status and view of its peers."""

    request_id: str
    host: HostRecord
    peers: tuple[HostRecord, ...]
    cut_peers: tuple[str, ...]
    states: tuple[ServerState, ...]
    counters: dict[str, int]


class HistogramRequest(Message, frozen=True):
    """Request the latency histograms of an agent's gateways."""

    request_id: str


class HistogramReply(Message, frozen=True):
    """Reply to a HistogramRequest with the gateways' histograms."""

    request_id: str
    histograms: tuple[LatencyHistogram, ...]


class DrainHost(Message, frozen=True):
    """Request that an agent gracefully stop its host's gateways."""

    request_id: str


class Done(Message, frozen=True):
    """Acknowledgement that a request was carried out."""

    request_id: str


class StoreEntry(msgspec.Struct, frozen=True, array_like=True):
    """Key of the store with its value, or None if the key was deleted."""

    key: str
    value: bytes | None
    revision: int


class StoreProgress(RevisionMessage, frozen=True):
    """Store revision that a host has read up to, and the age of that read."""

    host: str
    revision: int
    age_ms: int


class StoreChanges(RevisionMessage, frozen=True):
    """Store entries that changed between two revisions."""

    host: str
    after_revision: int
    revision: int
    # Time since the sender knew `revision` to be the store's latest.
    age_ms: int
    entries: tuple[StoreEntry, ...]


class StoreChangesRequest(RevisionMessage, frozen=True):
    """Request the changes since a revision from a host with a newer one."""

    host: str
    after_revision: int


class ViewRequest(RevisionMessage, frozen=True):
    """Request what a host knows of the store, or only what has changed."""

    host: str
    # Revision and age of the requesting host's own copy; None if it has none.
    revision: int | None
    age_ms: int | None


class ViewPart(RevisionMessage, frozen=True):
    """Part `number`, from 0, of `count` of a host's copy of the store."""

    host: str
    revision: int
    age_ms: int
    number: int
    count: int
    entries: tuple[StoreEntry, ...]


# SHA-256.
Digest = Annotated[bytes, msgspec.Meta(min_length=32, max_length=32)]
FragmentNumber = Annotated[int, msgspec.Meta(ge=0, le=1_000)]


class LargeValue(msgspec.Struct, frozen=True, array_like=True):
    """Value of a store entry that is sent apart from it, in fragments."""

    # Place of its entry in the message.
    index: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
    # Of the value itself.
    digest: Digest
    # Compressed.
    size_bytes: Annotated[int, msgspec.Meta(ge=0, le=2**31)]


class Outline(Message, frozen=True):
    """Changes or a part of a view, empty values in place of large ones."""

    message: StoreChanges | ViewPart
    values: tuple[LargeValue, ...]


class FragmentRequest(Message, frozen=True):
    """Request a fragment of a large value."""

    digest: Digest
    number: FragmentNumber


class Fragment(Message, frozen=True):
    """Fragment `number`, from 0, of a compressed large value."""

    digest: Digest
    number: FragmentNumber
    data: Annotated[bytes, msgspec.Meta(max_length=60_000)]


class ProofRequest(Message, frozen=True):
    """Ask as of when a host knows its configuration to be the newest."""

    nonce: int
    # Age of the proof of the host that asks; None without one.
    age_ms: int | None


class ProofReply(RevisionMessage, frozen=True):
    """Reply to a ProofRequest: this revision was the newest so long ago."""

    nonce: int
    revision: int
    age_ms: int


class ServerReport(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """What a host observed of one incarnation of a backend server."""

    # The host that observed it.
    host: str
    server_id: str
    born_ms: int


class ServerFailed(ServerReport, frozen=True, tag='F'):
    """The server has just failed a request."""

    reason: str
    symptom: Literal['error', 'broken', 'silent', 'replaced']
    # Recent requests to the server's service through the host.
    requests: int


class ServerRefused(ServerReport, frozen=True, tag='N'):
    """The server has refused a request although it had free slots."""


class ServerLoad(ServerReport, frozen=True, tag='L'):
    """Load that the server has just reported."""

    running: int
    waiting: int
    slots: int


class ServerRecovered(ServerReport, frozen=True, tag='R'):
    """The server was suspected and has just served a request."""


class ServerLeaving(ServerReport, frozen=True, tag='X'):
    """The server has said that it is leaving."""


AnyServerReport = (
    ServerFailed | ServerRefused | ServerLoad | ServerRecovered | ServerLeaving
)


class ServerReports(Message, frozen=True):
    """Reports of backend servers, and who is to pass them on."""

    # The sender, which need not have observed them.
    host: str
    # For a relay to pass on everywhere, to the other data centres or in its
    # own, or not to be passed on.
    scope: Literal['fleet', 'elsewhere', 'data-centre', 'host']
    reports: tuple[AnyServerReport, ...]
    # Whether the sender passes on what other hosts observed. An empty message
    # of this kind shows that it would.
    is_relayed: bool = False


Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
# No fleet runs for longer than 300 years.
Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=10**13)]
WorkspaceNumber = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class QuotaQuestion(msgspec.Struct, frozen=True, array_like=True):
    """Tokens that a host needs now, and would like for later requests."""

    workspace: WorkspaceNumber
    need: Count
    ahead: Count


class QuotaReturn(msgspec.Struct, frozen=True, array_like=True):
    """Tokens of a loan that were not used."""

    workspace: WorkspaceNumber
    counted_until_ms: Milliseconds
    tokens: Count


class QuotaQuestions(
    Message,
    frozen=True,
    tag='Qq',
    rename={
        'session': 's',
        'sequence': 'n',
        'questions': 'q',
        'returned': 'r',
    },
):
    """Questions of a host to the lender of some workspaces' tokens."""

    # Differs after each start of the host.
    session: Count
    # Rises within a session, so that a copy can be told.
    sequence: Milliseconds
    questions: tuple[QuotaQuestion, ...] = ()
    returned: tuple[QuotaReturn, ...] = ()


class QuotaLoan(msgspec.Struct, frozen=True, array_like=True, tag='L'):
    """Tokens that were lent, and when there are more if these were few."""

    workspace: WorkspaceNumber
    tokens: Count
    wait_ms: Milliseconds
    lapse_ms: Milliseconds
    # Names the loan; a time of the lender's clock.
    counted_until_ms: Milliseconds
    due_in_ms: Milliseconds | None
    spread_ms: Milliseconds


class QuotaElsewhere(msgspec.Struct, frozen=True, array_like=True, tag='X'):
    """The host does not lend the workspace's tokens."""

    workspace: WorkspaceNumber


class QuotaAnswers(
    Message,
    frozen=True,
    tag='Qa',
    rename={'session': 's', 'sequence': 'n', 'answers': 'a'},
):
    """Answers to questions of one message."""

    session: Count
    sequence: Milliseconds
    answers: tuple[QuotaLoan | QuotaElsewhere, ...]


class LendingRequest(Message, frozen=True, tag='Lr'):
    """Request not to lend where the asking host goes before."""

    host: str
    asked_at_ms: Milliseconds
    # A probe only finds out how much of the fleet the host reaches.
    is_probe: bool = False


class QuotaHandOver(msgspec.Struct, frozen=True, array_like=True):
    """What is left of the tokens that the asking host lends from now on."""

    workspace: WorkspaceNumber
    tokens: Count
    # Names the hand-over; a time of the sender's clock.
    at_ms: Milliseconds


class LendingConsent(Message, frozen=True, tag='Lc'):
    """Promise to a host that has asked for it, for a fixed time."""

    asked_at_ms: Milliseconds
    consent: Literal['yields', 'retired', 'none']
    handed_over: tuple[QuotaHandOver, ...] = ()


QuotaMessage = QuotaQuestions | QuotaAnswers | LendingRequest | LendingConsent

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
    | Outline
    | FragmentRequest
    | Fragment
    | ProofRequest
    | ProofReply
    | ServerReports
    | QuotaQuestions
    | QuotaAnswers
    | LendingRequest
    | LendingConsent
)
