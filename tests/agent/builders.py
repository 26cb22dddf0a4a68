from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from kingcupwheel.messages.attempts import ClaimRef
from kingcupwheel.messages.attempts import Dispatch
from kingcupwheel.settings.schema import AgentLimits
from kingcupwheel.settings.schema import PlatformSettings
from kingcupwheel.settings.schema import Role
from kingcupwheel.settings.schema import ServerSettings
from kingcupwheel.settings.schema import Settings
from kingcupwheel.settings.schema import Timings


if TYPE_CHECKING:
    from kingcupwheel.messages.membership import AgentHeartbeat

CREDIT_BYTES = 1_000_000
# Short, so that tests are fast; in the same order as the default values.
TIMINGS = Timings(heartbeat_s=0.2, silence_s=1.0, gone_s=2.0, token_s=3.0)
SERVER_SILENCE_S = 0.6


def completion_body(
    prompt: str, *, tokens: int = 8, stream: bool = True, padding: str = ""
) -> bytes:
    """Build a request; ``padding`` makes it larger and is not in the answer."""
    request = {
        "prompt": prompt,
        "max_tokens": tokens,
        "stream": stream,
        "padding": padding,
    }
    return json.dumps(request).encode()


def build_dispatch(
    request_id: str = "entry.1.a",
    *,
    attempt: int = 1,
    incarnation: str = "incarnation-1",
    token: int = 0,
    body: bytes = b"",
    claim: ClaimRef | None = None,
    **changes: Any,
) -> Dispatch:
    message = Dispatch(
        request_id=request_id,
        attempt=attempt,
        incarnation=incarnation,
        token=token,
        claim=claim,
        organisation="retazo",
        fingerprint=f"print of {request_id}",
        priority=5,
        streamed=True,
        method="POST",
        path="/v1/completions",
        headers=(("Content-Type", "application/json"),),
        body=body or completion_body(request_id),
        work=100.0,
        deadline_s=None,
        credit=CREDIT_BYTES,
        manifest_version=1,
        repeatable=claim is None,
        suspect=False,
    )
    return msgspec.structs.replace(message, **changes)


def build_dispatch_for(
    heartbeat: AgentHeartbeat, request_id: str, **changes: Any
) -> Dispatch:
    return build_dispatch(
        request_id, incarnation=heartbeat.incarnation, token=heartbeat.token, **changes
    )


def agent_settings(
    url: str,
    *,
    adapter: str = "engine",
    limits: AgentLimits | None = None,
    silence_s: float = SERVER_SILENCE_S,
) -> Settings:
    return Settings(
        name="agent-1",
        role=Role.AGENT,
        data_centre="heredia",
        listen="127.0.0.1:0",
        platform=PlatformSettings(url="http://127.0.0.1:9"),
        group="bundles",
        server=ServerSettings(url=url, adapter=adapter, silence_s=silence_s),
        agent=limits or AgentLimits(),
        timings=TIMINGS,
    )
