"""Sample data of the kind and size that a production fleet holds."""

from __future__ import annotations

import hashlib
from random import Random
from typing import TYPE_CHECKING

import msgspec

from kingcupwheel.burn.burn_counter import BurnCounter
from kingcupwheel.burn.finished_request import FinishedRequest
from kingcupwheel.burn.goals import BurnGoals
from kingcupwheel.manifest.schema import Goals
from kingcupwheel.manifest.schema import Manifest
from kingcupwheel.manifest.schema import Organisation
from kingcupwheel.manifest.schema import Route
from kingcupwheel.manifest.schema import ServerGroup
from kingcupwheel.manifest.shards import encode_index
from kingcupwheel.manifest.shards import shard_manifest
from kingcupwheel.messages.attempts import Outcome
from kingcupwheel.messages.membership import CrashedRunReport
from kingcupwheel.messages.membership import SuspicionReport
from kingcupwheel.platform.client import Instance
from kingcupwheel.trace.events import AttemptDispatched
from kingcupwheel.trace.events import AttemptForwarded
from kingcupwheel.trace.events import ConsideredServer
from kingcupwheel.trace.events import FirstByteRelayed
from kingcupwheel.trace.events import RequestAdmitted
from kingcupwheel.trace.events import RequestFinished
from kingcupwheel.trace.events import RequestPlaced
from kingcupwheel.trace.events import RequestReceived
from kingcupwheel.utils.request_ids import generate_request_id


if TYPE_CHECKING:
    from kingcupwheel.trace.events import AnyEvent
    from kingcupwheel.trace.recorder import TraceRecorder

PROCESS_NAME = "entry-curitiba-north-017"
TOKENS_PER_RESPONSE = 270


def record_requests(recorder: TraceRecorder, process: str, count: int) -> None:
    """Record the events of ``count`` requests; ``process`` is "entry" or "agent"."""
    # Names and numbers vary as in production: equal ones would compress too well.
    random = Random(7)
    for number in range(count):
        request_id = str(
            generate_request_id(PROCESS_NAME, now=1_800_000_000 + number / 9)
        )
        server = f"agent-curitiba-north-{random.randrange(1000):04d}"
        agent_events = _agent_events(server, random)
        for event in (
            _entry_events(server, random) if process == "entry" else agent_events
        ):
            recorder.record(request_id, event)


def _entry_events(server: str, random: Random) -> tuple[AnyEvent, ...]:
    other = f"agent-ponta-grossa-{random.randrange(1000):04d}"
    alternatives = (
        ConsideredServer(server, random.random()),
        ConsideredServer(other, random.random()),
    )
    organisation = f"organisation-{random.randrange(43_000)}"
    path = "/v1/completions"
    body_bytes = random.randrange(20_000)
    return (
        RequestReceived(
            "POST", path, body_bytes, organisation, f"*{path}", "parts-model", 720, True
        ),
        RequestAdmitted(random.random() * 2000),
        RequestPlaced(server, 1, random.random(), "less loaded of two", alternatives),
        AttemptDispatched(server, 1),
        AttemptForwarded(server, 1),
        FirstByteRelayed(server, 1),
        RequestFinished("ran", 200, random.randrange(20_000), "whole"),
    )


def _agent_events(server: str, random: Random) -> tuple[AnyEvent, ...]:
    return (
        AttemptForwarded(server, 1),
        FirstByteRelayed(server, 1),
        RequestFinished("ran", 200, random.randrange(20_000), "whole"),
    )


def build_observed_request(gaps_s: tuple[float, ...]) -> FinishedRequest:
    """Return an answered request with the given gaps between tokens."""
    return FinishedRequest(
        organisation="organisation-31415",
        route="*/v1/completions",
        group="parts-model",
        server="agent-curitiba-north-0417",
        outcome=Outcome.RAN,
        status=200,
        reason="whole",
        first_byte_s=0.4,
        gaps_s=gaps_s,
    )


def build_burn_counter(organisations: int) -> BurnCounter:
    """Return a counter for ``organisations`` organisations with their own goals."""
    goals_by_organisation = {
        f"organisation-{number}": Goals() for number in range(organisations)
    }
    counter = BurnCounter(
        PROCESS_NAME, BurnGoals(1, Goals(), {}, goals_by_organisation), now=0.0
    )
    gaps_s = tuple(0.025 + index % 20 / 1e3 for index in range(TOKENS_PER_RESPONSE))
    for number in range(organisations):
        observed = build_observed_request(gaps_s)._replace(
            organisation=f"organisation-{number}"
        )
        counter.count_request(observed, now=1.0)
    return counter


def build_organisation(number: int) -> Organisation:
    """Return an organisation with two keys."""
    return Organisation(
        name=f"organisation-{number}",
        key_digests=tuple(
            hashlib.sha256(f"{number}/{key}".encode()).hexdigest() for key in range(2)
        ),
    )


def encode_instance_list(count: int) -> bytes:
    """Return the platform's list of ``count`` instances as encoded on the wire."""
    instances = [
        Instance(
            f"agent-curitiba-north-{number:04d}",
            "agent",
            "parts-model",
            "curitiba-north",
            f"10.11.{number // 256}.{number % 256}:7400",
            "",
            False,
        )._asdict()
        for number in range(count)
    ]
    return msgspec.json.encode(instances)


def build_suspicions(count: int) -> tuple[SuspicionReport, ...]:
    """Return ``count`` requests, each of which ran during one server crash."""
    return tuple(
        SuspicionReport(f"{number:032x}", (CrashedRunReport(2**60, 1.25, 1.125),))
        for number in range(count)
    )


def measure_sharded_manifest(organisations: int) -> tuple[int, list[int]]:
    """Return the size of the index and of each shard, in bytes."""
    manifest = Manifest(
        organisations=tuple(build_organisation(n) for n in range(organisations)),
        groups=(ServerGroup(name="parts-model"),),
        routes=(Route(path="/v1/completions", group="parts-model"),),
    )
    sharded = shard_manifest(manifest, submission_id="0" * 32, previous_index=None).ok
    shards = [len(value) for value in sharded.shards_by_key.values()]
    return len(encode_index(sharded.index_object)), shards
