"""Messages and documents have the same format as those recorded from an older build.

If an encoded field or class is renamed, or the fields of a struct are reordered, nodes
of different versions cannot read each other's messages, and stored journals and
settings become unreadable.
"""

import json
from pathlib import Path

import msgspec
import pytest

from cyclamenyoke.adapters.peer_transport import MessageAuthenticator, Snapshot
from cyclamenyoke.cli.explain import TimelineEvent
from cyclamenyoke.core.burn_rate import BurnRateRow
from cyclamenyoke.core.config import (
    CallPattern,
    ConfigIndex,
    Customer,
    Deadlines,
    EngineGroup,
    PublishRecord,
    Service,
    ServiceKind,
    ServiceLevels,
    ServiceRevision,
    encode_service,
)
from cyclamenyoke.core.config import Endpoint as ServiceEndpoint
from cyclamenyoke.core.config_confirmation import NO_EVIDENCE, Evidence
from cyclamenyoke.core.endpoint_registry import Change, Endpoint, EndpointRegistry
from cyclamenyoke.core.engine_limits import LimitNotice
from cyclamenyoke.core.gossip import (
    Blobs,
    FetchBlobs,
    GenerationReply,
    GenerationRequest,
    MetricsReply,
    MetricsRequest,
    NodeInfo,
    Offer,
    OfferReply,
    Record,
    RecordKind,
    Records,
    Transfer,
    Version,
)
from cyclamenyoke.core.journal import Claim, ClaimState, Journal, Outcome
from cyclamenyoke.core.map_switch import (
    Arm,
    Armed,
    Decide,
    Done,
    Epoch,
    MessageRejected,
    Prepare,
    Promised,
    Switch,
)
from cyclamenyoke.core.messages import (
    Acknowledge,
    AttemptId,
    Call,
    Challenge,
    Chunk,
    ClaimedElsewhere,
    Draining,
    Execute,
    Failed,
    Finished,
    Head,
    Hello,
    Load,
    LoadReport,
    NotRun,
    Queued,
    Reason,
    Resume,
    Revoke,
    Started,
    Welcome,
)
from cyclamenyoke.core.orphaned_copies import OrphanNotice
from cyclamenyoke.core.peers import PeerUpdate
from cyclamenyoke.core.request_quarantine import TraitEvidence
from cyclamenyoke.core.store_position import StorePosition
from cyclamenyoke.daemon.expert_map_store import StoredMaps
from cyclamenyoke.daemon.http_responses import Problem
from cyclamenyoke.daemon.operators import (
    AgentStatus,
    ConfigView,
    ConflictBody,
    NodeStatus,
    Status,
)
from cyclamenyoke.daemon.publishing import PublishRequest, ServiceEdit
from cyclamenyoke.daemon.quarantine_api import QuarantinedPrompt
from cyclamenyoke.daemon.quarantine_store import StoredQuarantine

RECORDED = Path(__file__).parent / "recorded" / "formats.json"

ATTEMPT = AttemptId("entry-1@5", 7)
LOAD = Load(3, 12.5, 40.0)
RECORD = Record(RecordKind.NODE, "entry-1", Version(5, 2), 99.0, b"info")
ENDPOINT = Endpoint("i-1", "llm", "127.0.0.1:80", "dc-1", 8, False, 17)
EPOCH = Epoch(4, "agent-1")
SWITCH = Switch(2, 30)
SERVICE = Service(
    service="reports",
    kind=ServiceKind.MODEL,
    customers=[Customer("siam", 2.0, "ab" * 32)],
    models=["m"],
    groups=[EngineGroup("g", [ServiceEndpoint("e", "127.0.0.1:1", "dc-1", 4)])],
    not_repeatable=[CallPattern("POST", "/orders")],
    deadlines=Deadlines(1.0, 2.0),
    service_levels=ServiceLevels(0.1, 0.2, 0.9),
)
INDEX = ConfigIndex(
    3,
    {"reports": ServiceRevision(2, "cd")},
    [PublishRecord(3, "p-1", "ann", 12.0, ["reports"])],
)
CALL = Call(
    *("r-1", "orders", "siam", "POST", "/x", "application/json", b"{}"),
    *(30.0, 10.0, 2.0, 5.0, "key", 9.0, b"print"),
)

UNPLACED_EVIDENCE = TraitEvidence("llm", "5c", {"i-6@17": 1.5}, -1.0)
PLACED_EVIDENCE = msgspec.structs.replace(
    UNPLACED_EVIDENCE, data_centres={"i-6@17": "dc-1"}
)
"""The same end, by earlier versions and by this one."""

MESSAGES = {
    "to agent": [
        Execute(ATTEMPT, 6, "a@1", CALL, False),
        Revoke(ATTEMPT, 6, "a@1"),
        Resume(ATTEMPT, 6, "a@1", 4),
        Acknowledge(ATTEMPT, "a@1"),
        Hello("entry-1", b"nonce", b"proof"),
    ],
    "from agent": [
        Head(ATTEMPT, "r-1", 200, "text/plain", True),
        Chunk(ATTEMPT, 1, b"data"),
        Finished(ATTEMPT, 1, LOAD),
        *(Failed(ATTEMPT, reason) for reason in Reason),
        NotRun(ATTEMPT, Reason.BUSY, 0.5, LOAD),
        Started(ATTEMPT),
        Queued(ATTEMPT),
        ClaimedElsewhere(ATTEMPT, "a", "a@1"),
        LoadReport(LOAD, 4.0),
        Draining("a", "a@1"),
        Challenge("a", "a@1", b"nonce"),
        Welcome(b"proof", LOAD, True),
    ],
    "gossip": [
        Offer("entry-1", b"digests", [RECORD]),
        OfferReply([1, 2], {"node/entry-1": Version(5, 2)}, [RECORD]),
        Transfer([RECORD], ["config/index"]),
        Records([Record(kind, "n", Version(1, 1), 0.0, b"") for kind in RecordKind]),
        FetchBlobs(["ab"]),
        Blobs([b"blob"]),
        GenerationRequest(),
        GenerationReply(3),
        MetricsRequest(),
        MetricsReply("text"),
    ],
    "node info": NodeInfo("entry", "dc-1", "c:1", "c:2", "c:3", True),
    "expert map switch": [
        Prepare(EPOCH),
        Arm(EPOCH, "r@1", SWITCH),
        Decide(EPOCH, "r@1", None),
        Promised("r", "r@1", EPOCH, SWITCH, 31, 40),
        Armed("r", "r@1", EPOCH, SWITCH),
        MessageRejected("r", EPOCH, EPOCH),
        Done("r", "r@1", EPOCH),
    ],
    "peer update": PeerUpdate(
        *("127.0.0.1", 5, 9, "dc-1", "127.0.0.1:80", True, False, True, 4, 0.25),
        StorePosition(1, 11),
        *(True, b"digest", (Change("i-1", ENDPOINT, 3.0), Change("i-2", None, 4.0))),
        *({"i-1": 2}, {"llm": {"siam": 2}}, {"llm": {"siam": 1}}, ("i-3",), ("i-4",)),
        *((("i-5", 17),), (PLACED_EVIDENCE,)),
        (LimitNotice("i-7", 17, 2.5, 0.5),),
        *(("dc-2",), StorePosition(1, 12), {"i-1": 640}),
        {"dc-3": 41.5},
        *(Evidence("127.0.0.2", 13), 0.75),
        {"app": {"i-1": 3}},
        (OrphanNotice("127.0.0.3", 4, "app", "i-2", 2, 7.5),),
    ),
    "snapshot": Snapshot(
        *(b"config", StorePosition(1, 8), 0.5, StorePosition(1, 11), [ENDPOINT]),
        *(["dc-2"], StorePosition(1, 12), {"dc-3": 41.5}),
        *(Evidence("127.0.0.2", 13), 0.75),
    ),
    "journal": Journal(
        5.0,
        {
            str(state.value): Claim(
                "c-1", "a", "a@1", 6.0, b"print", state, Outcome(201, "text", b"x")
            )
            for state in ClaimState
        },
    ),
}

NO_PLACES = {"evidence": (UNPLACED_EVIDENCE,)}
NO_COPIES = {"copies": {}, "orphans": ()} | NO_PLACES
NO_CONFIRMATION = {"config_evidence": NO_EVIDENCE, "config_age": -1.0}
FORMER_MESSAGES = {
    name: msgspec.structs.replace(MESSAGES[name.partition(" of ")[0]], **missing)
    for name, missing in {
        "peer update of b56c5ba": NO_CONFIRMATION | NO_COPIES,
        "snapshot of b56c5ba": NO_CONFIRMATION,
        "peer update of 0692730": NO_COPIES,
        "peer update of 0b0360e": NO_PLACES,
    }.items()
}
"""Messages of earlier commits, which lack fields that were added at the end."""

DOCUMENTS = {
    "config index": INDEX,
    "service": SERVICE,
    "expert maps": StoredMaps(3, {7: [[[0, 2], [1, 3]]]}),
    "problem": Problem("t", 503, "no", "busy", "r-1", "d", "unknown", 1.0, ["a:1"]),
    "publish": PublishRequest("p-1", "ann", [ServiceEdit(SERVICE, 2)]),
    "status": Status(
        *("entry-1", 3, 2),
        [NodeStatus("n", "entry", "dc-1", "c:1", "o:1", False, 3)],
        [AgentStatus("a", "orders", True, False, "closed", 2, 0.1)],
    ),
    "config view": ConfigView(INDEX, [SERVICE]),
    "conflict": ConflictBody("reports", "diff"),
    "stored quarantine": StoredQuarantine(
        1700000000.5, [msgspec.structs.replace(PLACED_EVIDENCE, cleared_age=2.0)]
    ),
    "quarantined prompt": QuarantinedPrompt("llm", ["5c"], ["i-6@17"], 599.5),
    "burn rates": BurnRateRow("reports", "siam", 0.9, {"5m": 1.5}, {"5m": 10}),
    "explained": TimelineEvent(0.5, "n", "what"),
}


FORMER_DOCUMENTS = {
    "stored quarantine of 0b0360e": StoredQuarantine(
        1700000000.5, [msgspec.structs.replace(UNPLACED_EVIDENCE, cleared_age=2.0)]
    ),
}
"""The same of stored documents."""


class EvidenceOf0b0360e(msgspec.Struct, array_like=True):
    """What earlier gateways read of the evidence against a trait."""

    service: str
    trait: str
    end_ages: dict[str, float]
    cleared_age: float


def encode_values() -> dict[str, str]:
    """Return the encodings of this build, as text, by name."""
    texts = {name: msgspec.msgpack.encode(m).hex() for name, m in MESSAGES.items()}
    for name, document in DOCUMENTS.items():
        texts[name] = msgspec.json.encode(document).decode()
    registry = EndpointRegistry()
    registry.apply_list([ENDPOINT], StorePosition(1, 11), 3.0, 3.0)
    authenticator = MessageAuthenticator(b"key")
    texts["service blob"] = encode_service(SERVICE).decode()
    texts["registry digest"] = registry.digest.hex()
    texts["signed"] = authenticator.sign(MESSAGES["peer update"]).hex()
    return texts


def load_recorded() -> dict[str, str]:
    """Return the recorded encodings, as text, by name."""
    return json.loads(RECORDED.read_text())


def test_values_are_written_as_before():
    recorded = load_recorded()
    assert encode_values() == {name: recorded[name] for name in encode_values()}
    former = FORMER_MESSAGES.keys() | FORMER_DOCUMENTS.keys()
    assert recorded.keys() == encode_values().keys() | former


@pytest.mark.parametrize("name", FORMER_MESSAGES)
def test_messages_that_lack_later_fields_are_read(name):
    value = FORMER_MESSAGES[name]
    data = bytes.fromhex(load_recorded()[name])
    assert msgspec.msgpack.decode(data, type=type(value)) == value


@pytest.mark.parametrize("name", MESSAGES)
def test_recorded_messages_are_read(name):
    value = MESSAGES[name]
    data = bytes.fromhex(load_recorded()[name])
    if not isinstance(value, list):
        assert msgspec.msgpack.decode(data, type=type(value)) == value
        return
    kinds = {type(each) for each in value}
    union = kinds.pop()
    for kind in kinds:
        union = union | kind
    assert msgspec.msgpack.decode(data, type=list[union]) == value


def test_earlier_gateways_read_evidence_that_has_a_later_field():
    data = msgspec.msgpack.encode(PLACED_EVIDENCE)
    read = msgspec.msgpack.decode(data, type=EvidenceOf0b0360e)
    assert (read.trait, read.end_ages) == ("5c", {"i-6@17": 1.5})


@pytest.mark.parametrize("name", FORMER_DOCUMENTS)
def test_documents_that_lack_later_fields_are_read(name):
    value = FORMER_DOCUMENTS[name]
    data = load_recorded()[name].encode()
    assert msgspec.json.decode(data, type=type(value)) == value


@pytest.mark.parametrize("name", DOCUMENTS)
def test_recorded_documents_are_read(name):
    value = DOCUMENTS[name]
    assert (
        msgspec.json.decode(load_recorded()[name].encode(), type=type(value)) == value
    )


def test_recorded_signature_is_accepted():
    data = bytes.fromhex(load_recorded()["signed"])
    verified = MessageAuthenticator(b"key").verify(data, PeerUpdate)
    assert verified == MESSAGES["peer update"]
