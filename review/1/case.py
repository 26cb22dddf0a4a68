"""A server's answer breaks off in its head; the client gets it as a whole answer."""

from __future__ import annotations

import random
import sys
import time
from pathlib import Path


FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402


REQUESTS = 300
INTERVAL_S = 0.05
# One answer in so many breaks off: 4 in 100, twice the bench's usual share.
CUT_EVERY = 25
SEED = 7


class HeadCutter:
    """Chooses the answers that break off, and after how many bytes of their head."""

    def __init__(self) -> None:
        self._random = random.Random(SEED)
        self._answers = 0

    def __call__(self, head: bytes) -> int | None:
        """Return after how many bytes the answer breaks off, None for a whole one."""
        self._answers += 1
        if not harness.has_trouble() or self._answers % CUT_EVERY:
            return None
        return self._random.randrange(1, len(head))


def find_fault(
    answer: harness.Answer, attempt: str, servers: list[harness.Server]
) -> str:
    """Return how the answer breaks the rule, empty if it does not."""
    if not 200 <= answer.status < 300:
        return ""
    signature = answer.headers.get("x-response-signature", "")
    ran_on = [one for one in servers if attempt in one.body_by_attempt]
    if not signature:
        return "a success without a signature"
    for one in ran_on:
        if signature == one.signature_by_attempt[attempt]:
            whole = one.body_by_attempt[attempt]
            return "" if answer.body == whole else f"{len(answer.body)}/{len(whole)} B"
    return "a success with a signature that no server made"


def main() -> None:
    """Run the case."""
    with harness.Deployment(FOLDER, servers=2, entries=1) as deployment:
        record = deployment.record
        cutter = HeadCutter()
        for server in deployment.servers:
            server.cut_head_at = cutter
        if not deployment.wait_until_ready():
            harness.finish(record, harness.NOT_RUN, "the entry did not become ready")
        client = harness.Client(record)
        successes = 0
        faults: list[str] = []
        for number in range(REQUESTS):
            method, path = (
                ("GET", f"/status/{number}")
                if number % 2
                else ("POST", f"/pickup/{number}")
            )
            front = deployment.entries[0].front
            attempt, _, answer = client.send(front, method, path)
            successes += 200 <= answer.status < 300
            fault = find_fault(answer, attempt, deployment.servers)
            if fault:
                record.write("MIXED", attempt=attempt, why=f"'{fault}'")
                faults.append(fault)
            time.sleep(INTERVAL_S)
        if successes < REQUESTS // 2:
            harness.finish(record, harness.NOT_RUN, f"only {successes} were answered")
        code = harness.BROKEN if faults else harness.HELD
        what = f"{len(faults)} of {successes} successes were not the server's answer"
        harness.finish(record, code, what)


main()
