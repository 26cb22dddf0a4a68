"""Deterministic answers of the engine stand-in, which tests compare with."""

from __future__ import annotations

import hashlib
import json


DONE_EVENT = b"data: [DONE]\n\n"
_TOKEN_DIGEST_CHARS = 6


def build_token_text(prompt: str, index: int) -> str:
    digest = hashlib.sha256(f"{index} {prompt}".encode()).hexdigest()
    return f"{digest[:_TOKEN_DIGEST_CHARS]} "


def build_token_event(prompt: str, index: int) -> bytes:
    choice = {"index": 0, "text": build_token_text(prompt, index)}
    return b"data: " + json.dumps({"choices": [choice]}).encode() + b"\n\n"


def build_streamed_answer(prompt: str, max_tokens: int) -> bytes:
    events = b"".join(build_token_event(prompt, index) for index in range(max_tokens))
    return events + DONE_EVENT


def build_plain_answer(prompt: str, max_tokens: int) -> bytes:
    text = "".join(build_token_text(prompt, index) for index in range(max_tokens))
    choice = {"index": 0, "text": text}
    usage = {"completion_tokens": max_tokens}
    return json.dumps({"choices": [choice], "usage": usage}).encode()
