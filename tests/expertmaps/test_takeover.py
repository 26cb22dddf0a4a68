from __future__ import annotations

import pytest

from kingcupwheel.expertmaps.coordinator import Coordinator
from kingcupwheel.expertmaps.maps import MapVersion
from kingcupwheel.expertmaps.phases import Ready
from kingcupwheel.expertmaps.protocol import AbortOrder
from kingcupwheel.expertmaps.protocol import CommitOrder
from kingcupwheel.expertmaps.protocol import PrepareOrder
from kingcupwheel.expertmaps.protocol import StageOrder
from kingcupwheel.expertmaps.protocol import StageReply
from kingcupwheel.expertmaps.protocol import VersionedMap
from kingcupwheel.expertmaps.rank_state import apply_order
from tests.expertmaps.group_model import FIRST
from tests.expertmaps.group_model import GroupModel
from tests.expertmaps.group_model import SentOrder
from tests.expertmaps.naive_coordinator import NaiveCoordinator


def exchange_messages(
    model: GroupModel,
    coordinator_index: int,
    *,
    skip: frozenset[SentOrder],
    ranks: tuple[int, ...] = (0, 1),
) -> None:
    """Deliver orders but ``skip`` to ``ranks``, and replies, until nothing changes."""
    while True:
        before = model.state_key
        for order in model.orders:
            wanted = (
                order.coordinator_index == coordinator_index and order.rank in ranks
            )
            if wanted and order not in skip:
                model.deliver_order(order)
        for reply in model.replies:
            if reply.coordinator_index == coordinator_index:
                model.deliver_reply(reply)
        if model.state_key == before:
            return


def build_prepared_model(
    coordinator_type: type[Coordinator],
) -> tuple[GroupModel, SentOrder]:
    """Return a group with both ranks prepared and a commit waiting at rank 0."""
    model = GroupModel(coordinator_type=coordinator_type)
    model.take_over()
    exchange_messages(model, 0, skip=frozenset())
    model.propose(0)
    while not any(isinstance(sent.order, CommitOrder) for sent in model.orders):
        for order in model.orders:
            model.deliver_order(order)
        for reply in model.replies:
            model.deliver_reply(reply)
    commit = next(
        sent
        for sent in model.orders
        if isinstance(sent.order, CommitOrder) and sent.rank == 0
    )
    model.forward_order(commit)
    model.restart_agent(0)
    return model, commit


def run_steps(model: GroupModel, steps: int) -> None:
    for _ in range(steps):
        for rank in range(len(model.ranks)):
            if model.can_run(rank):
                model.run_step(rank)


def build_orphaned_commit_model(coordinator_type: type[Coordinator]) -> GroupModel:
    model, orphan = build_prepared_model(coordinator_type)
    model.take_over()
    old = frozenset(sent for sent in model.orders if sent.coordinator_index == 0)
    for sent in model.orders:
        if sent not in old:
            model.deliver_order(sent)
    for reply in [reply for reply in model.replies if reply.coordinator_index == 1]:
        model.deliver_reply(reply)
    model.apply_at_engine(orphan, is_answered=False)
    exchange_messages(model, 1, skip=old)
    run_steps(model, 4)
    return model


def test_a_commit_that_takes_effect_after_the_takeover_does_not_mix_maps() -> None:
    """Guards against a step on two maps after a late commit.

    All ranks have prepared; the coordinator commits and fails. The agent of rank 0
    forwards the commit and restarts before the engine applies it. The successor reads
    from all ranks that they have prepared; then the orphaned commit takes effect. The
    successor supersedes the version on all ranks, so the commit is either reported to
    it or invalidated.
    """
    model = build_orphaned_commit_model(Coordinator)

    assert model.conflicting_runs is None
    assert isinstance(model.coordinators[1].phase, Ready)
    assert min(state.step for state in model.ranks) == 4


def test_the_same_trace_mixes_maps_under_a_successor_that_reads_and_decides() -> None:
    """Shows that the trace finds the fault of ``NaiveCoordinator``."""
    model = build_orphaned_commit_model(NaiveCoordinator)

    assert model.conflicting_runs is not None


def test_an_abort_that_overtakes_its_prepare_leaves_no_rank_held() -> None:
    """Guards against a group that stays held forever.

    Rank 1 does not answer, so the change is aborted. At rank 0 the abort arrives before
    the prepare; the rank has stored the aborted version and refuses the prepare.
    """
    model = GroupModel()
    model.take_over()
    exchange_messages(model, 0, skip=frozenset())
    model.propose(0)
    while not any(isinstance(sent.order, PrepareOrder) for sent in model.orders):
        for order in model.orders:
            model.deliver_order(order)
        for reply in model.replies:
            model.deliver_reply(reply)
    model.tick(0, 10)
    orders = {
        type(sent.order): sent
        for sent in model.orders
        if sent.rank == 0 and isinstance(sent.order, AbortOrder | PrepareOrder)
    }

    model.deliver_order(orders[AbortOrder])
    model.deliver_order(orders[PrepareOrder])

    assert model.ranks[0].hold is None
    run_steps(model, 3)
    assert model.ranks[0].step == 3


@pytest.mark.parametrize("restarted", [0, 1])
def test_a_restarted_rank_runs_no_step_until_it_receives_its_map(
    restarted: int,
) -> None:
    """Guards against a step on the default map of a restarted rank.

    The rank restarts between prepare and commit, so it refuses the commit. The
    coordinator holds all ranks, reads what they have committed and sends it to the
    rank.
    """
    model, _ = build_prepared_model(Coordinator)
    model.restart_rank(restarted)
    assert not model.can_run(restarted)

    exchange_messages(model, 0, skip=frozenset())
    run_steps(model, 4)

    assert model.conflicting_runs is None
    assert min(state.step for state in model.ranks) == 4


def test_a_rank_refuses_changes_to_a_map_that_it_has_not_committed() -> None:
    """Guards against different maps under the same version."""
    model = GroupModel()
    placements = model.initial_map.diff_placements(model.rotated_map)
    version = MapVersion(2, 1)

    for base, staged in ((FIRST, True), (version, False)):
        state, reply = apply_order(
            model.ranks[0], StageOrder(version, base, placements)
        )
        assert isinstance(reply, StageReply) is staged
        assert (state.staged == VersionedMap(version, model.rotated_map)) is staged


def test_a_commit_that_reached_one_rank_only_is_completed_on_all() -> None:
    """Guards against a step that rank 0 runs on the new map and rank 1 on the old one.

    Rank 0 commits and runs the step; rank 1 is still held before it when the
    coordinator fails. The successor reaches rank 1 first, which stays held until rank 0
    has answered too, because only that answer shows on which map the step was run.
    """
    model, commit = build_prepared_model(Coordinator)
    old = frozenset(model.orders)
    model.apply_at_engine(commit, is_answered=False)
    run_steps(model, 4)
    ahead, behind = (state.step for state in model.ranks)

    model.take_over()
    exchange_messages(model, 1, skip=old, ranks=(1,))
    run_steps(model, 4)

    assert ahead == behind + 1
    assert model.ranks[1].step == behind
    exchange_messages(model, 1, skip=old)
    run_steps(model, 4)
    assert model.conflicting_runs is None
    assert {state.schedule.new_map.map for state in model.ranks if state.schedule} == {
        model.rotated_map
    }
    assert min(state.step for state in model.ranks) == behind + 4
