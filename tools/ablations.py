"""Writes copies of the sources, each with one mechanism disabled.

``python -m tools.ablations FOLDER [NAME ...]`` writes a copy for each name (for every
mechanism if none is given) into FOLDER/NAME, to be compared with the unchanged sources.
A mechanism is disabled by replacing a few lines, so that the product needs no switches
for it. A line that is not found is an error, and a test checks every edit against the
sources.
"""

from __future__ import annotations

import shutil
import sys
from pathlib import Path
from typing import NamedTuple


ROOT = Path(__file__).parents[1]
_PACKAGE = Path("src/kingcupwheel")
# Needed to build and run a copy.
_COPIED_PATHS = ("src", "deploy", "requirements", "pyproject.toml")


class Edit(NamedTuple):
    """A replacement of lines; ``path`` is relative to the package."""

    path: str
    old: str
    new: str


_FLOW_KEY = """key = (request.organisation, request.priority)
        flow = self._flow_by_key"""
_ONE_FLOW = """key = ("", 0)
        flow = self._flow_by_key"""

ABLATIONS: dict[str, tuple[Edit, ...]] = {
    "two-choices": (
        Edit(
            "decisions/placement.py",
            "min(sampled, key=lambda candidate: _compute_cost(candidate, request))",
            "sampled[0]",
        ),
    ),
    "own-data-centre-first": (
        Edit("forwarding/queue_wait.py", "prefers_local=True", "prefers_local=False"),
        Edit(
            "forwarding/queue_wait.py",
            "REMOTE_LOAD_PENALTY = 0.25",
            "REMOTE_LOAD_PENALTY = 0.0",
        ),
    ),
    "own-in-flight": (
        Edit(
            "decisions/candidates.py",
            "return max(reported + change, float(self.own_in_flight))",
            "return float(reported)",
        ),
    ),
    "health": (
        Edit(
            "entry/candidate_builder.py",
            "state_by_name = self._health.update_states(loads, now)",
            "state_by_name = {one.name: ServerState.HEALTHY for one in loads}",
        ),
    ),
    "progress-by-events": (
        Edit(
            "forwarding/event_reader.py",
            "        if events:\n            self._answer.use_part()",
            "        if data:\n            self._answer.use_part()",
        ),
    ),
    "response-deadline": (
        Edit(
            "utils/http_responses.py",
            '        self._sock.settimeout(None if left_s == float("inf") else left_s)',
            '        left_s = float("inf")',
        ),
    ),
    "answer-memory": (
        Edit(
            "forwarding/daemon.py",
            "AnswerMemory(limit_to_machine(settings.entry.answers_bytes))",
            'AnswerMemory(float("inf"))',
        ),
    ),
    "body-memory": (
        Edit(
            "forwarding/daemon.py",
            "BodyMemory(limit_to_machine(settings.entry.requests_bytes))",
            'BodyMemory(float("inf"))',
        ),
    ),
    "body-release": (
        Edit(
            "entry/body_memory.py",
            "        self._data = None\n        if",
            "        if",
        ),
    ),
    "new-connection-after-silence": (
        Edit("platform/store_client.py", "self._http.replace_idle()", "pass"),
    ),
    "silence-is-no-outage": (
        Edit(
            "forwarding/outage.py",
            "self._is_certain = not is_silent",
            "self._is_certain = True",
        ),
    ),
    "complete-lines": (
        Edit(
            "utils/http_responses.py",
            "self.fp = CompleteLineReader(raw, control)",
            "pass",
        ),
    ),
    "echo-incarnations": (
        Edit(
            "forwarding/peers.py",
            "if heartbeat.echo_incarnation == incarnation:",
            'if heartbeat.echo_incarnation != "-":',
        ),
    ),
    "future-confirmations": (
        Edit(
            "forwarding/configuration_cache.py",
            "if as_of <= now:",
            'if as_of < float("inf"):',
        ),
    ),
    "rate-limits": (
        Edit(
            "decisions/rate_limits.py",
            "if observed.rate is None:",
            "if observed.rate is None or self is not None:",
        ),
    ),
    "limit-holders": (
        Edit(
            "decisions/limit_shares.py",
            "holder_count = max(1, min(fleet.size, wanted))",
            "holder_count = fleet.size",
        ),
    ),
    "probes": (
        Edit("decisions/placement.py", "PROBE_SHARE = 0.02", "PROBE_SHARE = 0.0"),
    ),
    "closed-groups-wait": (
        Edit(
            "forwarding/retry_guards.py",
            "return detector.record_rejection(server, idle_s=idle_s, now=monotonic())",
            "return False",
        ),
    ),
    "full-servers-are-not-silent": (
        Edit(
            "forwarding/late_servers.py",
            "not has_answer_begun and context.server_registry.is_reported_full(",
            "now < 0.0 and context.server_registry.is_reported_full(",
        ),
    ),
    "silent-servers-given-up": (
        Edit(
            "forwarding/request_hedges.py",
            "        return self._state.request.deadlines.silence_timeout_s",
            '        return float("inf")',
        ),
    ),
    "silent-servers-kept": (
        Edit(
            "forwarding/request_hedges.py",
            "if self._state.is_hedge:\n            return may_leave()",
            "if self is not None:\n            return may_leave()",
        ),
    ),
    "admission-bounds": (
        Edit("decisions/fair_queue.py", "if wait_s > remaining_s:", "if wait_s < 0.0:"),
    ),
    "fair-flows": (
        Edit(
            "decisions/fair_queue.py",
            _FLOW_KEY + ".g",
            _ONE_FLOW + ".g",
        ),
        Edit(
            "decisions/fair_queue.py",
            _FLOW_KEY + "[",
            _ONE_FLOW + "[",
        ),
    ),
    "retry-budget": (
        Edit(
            "decisions/retry_budget.py",
            "if len(self._retries) + 1 > floor + share * len(self._first_attempts):",
            "if floor < 0.0:",
        ),
    ),
    "retry-after-spread": (
        Edit(
            "forwarding/retry_guards.py",
            "return base_s * (1.0 + 0.5 * stable_fraction(request_id))",
            "return base_s",
        ),
    ),
    "map-changes": (
        Edit(
            "lockstep/balancer.py",
            "if plan is None or not self._has_sufficient_gain(plan):",
            "if plan is not None or plan is None:",
        ),
    ),
    "jumps": (
        Edit(
            "lockstep/popularity.py",
            "0.0 < noise_threshold < self.sample_distance",
            "noise_threshold < 0.0",
        ),
        Edit(
            "lockstep/popularity.py",
            "JUMP_DISTANCE = 0.33",
            "JUMP_DISTANCE = 9.0",
        ),
    ),
    "small-gains-left": (
        Edit(
            "lockstep/balancer.py",
            "SHORT_PASS_MIN_SKEW_GAIN = 0.3",
            "SHORT_PASS_MIN_SKEW_GAIN = 0.0",
        ),
        Edit(
            "lockstep/balancer.py",
            "MIN_SKEW_GAIN_PER_COPY_S = 0.018",
            "MIN_SKEW_GAIN_PER_COPY_S = 0.0",
        ),
    ),
    "slow-ranks-avoided": (
        Edit(
            "forwarding/server_registry.py",
            "AVOIDED_PACE = 2.5",
            'AVOIDED_PACE = float("inf")',
        ),
    ),
    "slow-ranks-given-less": (
        Edit("forwarding/server_registry.py", "pace <= SLOW_PACE:", "pace > 0.0:"),
    ),
    "slow-ranks-relieved-of-experts": (
        Edit(
            "lockstep/balancer.py",
            "[group.states_by_rank[rank].pace for rank in range(group.rank_count)]",
            "[1.0 for _ in range(group.rank_count)]",
        ),
    ),
    "rescuers": (
        Edit("lockstep/takeover.py", "RESCUER_RANKS = (1, 2)", "RESCUER_RANKS = ()"),
    ),
    "direct-orders": (
        Edit(
            "lockstep/direct_client.py",
            "if not requests_by_server:",
            "if not requests_by_server or requests_by_server:",
        ),
    ),
    "branches": (
        Edit(
            "lockstep/agent_client.py",
            "head = self._heads_by_agent.get(address, address)",
            "head = address",
        ),
    ),
    "load-boards": (
        Edit(
            "forwarding/load_aggregators.py",
            "MAX_DIRECT_AGENTS = 24",
            "MAX_DIRECT_AGENTS = 10_000",
        ),
    ),
    "long-watches": (
        Edit(
            "forwarding/store_watcher.py",
            "LARGE_FLEET_ENTRIES = 10",
            "LARGE_FLEET_ENTRIES = 10_000",
        ),
    ),
    "part-identity": (
        Edit(
            "forwarding/admission.py",
            "compute_part_keys(service, head.model, head.prompt_parts)",
            "()",
        ),
    ),
    "part-causes": (
        Edit(
            "decisions/crash_suspects.py",
            "if any(other > cause for other in others.values()):",
            "if not others and not runs:",
        ),
        Edit(
            "decisions/crash_suspects.py",
            "is_ambiguous=bool(equals)",
            "is_ambiguous=False",
        ),
    ),
    "trial-claims": (
        Edit(
            "decisions/trial_claims.py",
            "return min(known, reported, key=lambda claim: _order(claim, key))",
            "return known",
        ),
    ),
    "crash-check-before-send": (
        Edit(
            "forwarding/run_evidence.py",
            "if self.may_run():\n            return None",
            "if has_run or self.may_run():\n            return None",
        ),
        Edit(
            "forwarding/request_sender.py",
            "may_run=self._state.evidence.may_run,",
            "may_run=lambda: True,",
        ),
        Edit(
            "forwarding/request_sender.py",
            "if not self._state.evidence.may_run():",
            "if False:",
        ),
    ),
    "probe-before-retry": (
        Edit(
            "forwarding/send_results.py",
            "if outcome is AttemptOutcome.LOST and step is NextStep.RETRY:",
            "if False:",
        ),
    ),
    "completion-settling": (
        Edit(
            "forwarding/pending_completions.py",
            "COMPLETION_SETTLE_S = 0.25",
            "COMPLETION_SETTLE_S = 0.0",
        ),
    ),
}


def apply_edits(name: str, root: Path = ROOT) -> dict[Path, str]:
    """Return the texts of the changed files by path.

    Raises ValueError if an edit's old lines do not occur exactly once.
    """
    texts: dict[Path, str] = {}
    for edit in ABLATIONS[name]:
        path = _PACKAGE / edit.path
        text = texts.get(path) or (root / path).read_text()
        if text.count(edit.old) != 1:
            raise ValueError(
                f"{name}: {path} contains {edit.old!r} {text.count(edit.old)} times"
            )
        texts[path] = text.replace(edit.old, edit.new)
    return texts


def write_ablated_copy(name: str, folder: Path) -> Path:
    """Write the sources with one mechanism disabled; return the copy's folder."""
    texts = apply_edits(name)
    copy = folder / name
    copy.mkdir(parents=True)
    ignored = shutil.ignore_patterns("__pycache__")
    for part in _COPIED_PATHS:
        source = ROOT / part
        if source.is_dir():
            shutil.copytree(source, copy / part, ignore=ignored)
        else:
            shutil.copy2(source, copy / part)
    for path, text in texts.items():
        (copy / path).write_text(text)
    return copy


def main() -> None:
    """Write the copies named on the command line."""
    if len(sys.argv) < 2:
        raise SystemExit(__doc__)
    for name in sys.argv[2:] or ABLATIONS:
        if name not in ABLATIONS:
            raise SystemExit(
                f"unknown mechanism {name!r}; known: {', '.join(ABLATIONS)}"
            )
        print(write_ablated_copy(name, Path(sys.argv[1])))


if __name__ == "__main__":
    main()
