"""Reads the body of a request, or says why the request is refused."""

from __future__ import annotations

from typing import TYPE_CHECKING

from kingcupwheel.entry.body_source import read_body
from kingcupwheel.entry.exceptions import BodyMemoryError
from kingcupwheel.entry.exceptions import BodyTooLargeError
from kingcupwheel.entry.exceptions import BodyTooSlowError
from kingcupwheel.entry.exceptions import BodyTruncatedError
from kingcupwheel.entry.refusals import BODY_TOO_LARGE
from kingcupwheel.entry.refusals import BODY_TOO_SLOW
from kingcupwheel.entry.refusals import CALLER_LEFT
from kingcupwheel.entry.refusals import build_bad_request_refusal
from kingcupwheel.entry.refusals import build_body_memory_refusal


if TYPE_CHECKING:
    from kingcupwheel.entry.body_memory import RequestBody
    from kingcupwheel.entry.body_source import BodySource
    from kingcupwheel.entry.refusals import Refusal


def read_or_refuse(
    source: BodySource, body: RequestBody, *, limit_bytes: int, deadline_at: float
) -> Refusal | None:
    """Read a body into ``body``; return the refusal if it was not read to its end."""
    try:
        read_body(source, body, limit_bytes=limit_bytes, deadline_at=deadline_at)
    except BodyTooLargeError:
        return BODY_TOO_LARGE
    except BodyTooSlowError:
        return BODY_TOO_SLOW
    except BodyTruncatedError:
        return CALLER_LEFT
    except BodyMemoryError as error:
        return build_body_memory_refusal(error)
    except ValueError as error:
        return build_bad_request_refusal(f"The body can't be read: {error}.")
    return None
