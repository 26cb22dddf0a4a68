"""Exhaustive search over the event orders of a small group, also without safeguards."""

from __future__ import annotations

from functools import cache
from random import Random

import pytest
from msgspec.structs import replace

from kingcupwheel.lockstep import change_protocol
from kingcupwheel.lockstep.change_protocol import Arming
from kingcupwheel.lockstep.change_protocol import ChangeOutcome
from kingcupwheel.lockstep.change_protocol import Holding
from kingcupwheel.lockstep.change_protocol import Idle
from kingcupwheel.lockstep.change_protocol import LayerPlacements
from kingcupwheel.lockstep.change_protocol import PendingOrder
from kingcupwheel.lockstep.change_protocol import Phase
from kingcupwheel.lockstep.change_protocol import Releasing
from kingcupwheel.lockstep.change_protocol import Voiding
from kingcupwheel.lockstep.change_protocol import advance_phase
from kingcupwheel.lockstep.change_protocol import change_outcome
from kingcupwheel.lockstep.change_protocol import pending_orders
from kingcupwheel.lockstep.change_protocol import recover_phase
from kingcupwheel.lockstep.group_state import GroupState
from kingcupwheel.lockstep.orders import Arm
from kingcupwheel.lockstep.orders import Disarm
from tests.lockstep.builders import make_rank_state
from tests.lockstep.model import PRODUCTION_RULES
from tests.lockstep.model import ProtocolRules
from tests.lockstep.model import SearchLimits
from tests.lockstep.model import SearchResult
from tests.lockstep.model import initial_state
from tests.lockstep.model import is_mixed
from tests.lockstep.model import next_states
from tests.lockstep.model import search


# Two changes, one crash of the coordinator, one unanswered order, and enough passes for
# both changes to become active.
TWO_RANK_LIMITS = SearchLimits(changes=2, lives=2, lost=1, steps=6)
# With three ranks one change and one late order keep the search within seconds.
THREE_RANK_LIMITS = SearchLimits(changes=1, lives=2, lost=1, steps=3)
# With a second agent that completes the change it finds: an exhaustive search without
# crashes and losses, and random walks with both.
RESCUE_LIMITS = SearchLimits(changes=1, lives=1, lost=0, steps=3, rescues=True)
RESCUE_WALK_LIMITS = SearchLimits(changes=3, lives=3, lost=3, steps=20, rescues=True)
# The same with a hold of the very next pass, so that changes become active within a few
# passes: two changes with a late order, and three ranks.
EARLY_HOLD_LIMITS = SearchLimits(changes=2, lives=1, lost=1, steps=2, rescues=True)
EARLY_HOLD_THREE_RANK_LIMITS = SearchLimits(
    changes=1, lives=1, lost=0, steps=2, rescues=True
)
WALK_COUNT = 400
STEPS_PER_WALK = 150


def disarm_before_void(phase: Phase, group: GroupState) -> tuple[PendingOrder, ...]:
    """Return the pending orders, but disarm ranks before the version is void."""
    armed = {
        rank: state.armed for rank, state in group.states_by_rank.items() if state.armed
    }
    if not isinstance(phase, Voiding) or not armed:
        return pending_orders(phase, group)
    return tuple(
        PendingOrder(rank, Disarm(group.epoch, version))
        for rank, version in armed.items()
    )


@cache
def search_two_ranks() -> SearchResult:
    return search(2, TWO_RANK_LIMITS)


def test_no_pass_runs_on_two_maps_whatever_gets_lost_late_or_killed() -> None:
    """The coordinator may crash at any point, and its orders may arrive at any time.

    Covers all event orders of two ranks with two changes, one crash and one unanswered
    order that is executed later. A pass on two maps would corrupt the responses.
    """
    found = search_two_ranks()

    assert found.mixed_state is None
    assert found.visited_count > 10_000


def test_three_ranks_never_run_on_two_maps() -> None:
    found = search(3, THREE_RANK_LIMITS)

    assert found.mixed_state is None


def test_an_agent_that_completes_a_change_beside_its_coordinator_mixes_nothing() -> (
    None
):
    """The coordinator freezes during a change and wakes while another agent ends it.

    The other agent reads the ranks one by one, arms the rest and releases the pass. The
    coordinator, restarted or not, does the same at any moment in between.
    """
    found = search(2, RESCUE_LIMITS)

    assert found.mixed_state is None
    assert found.stuck_state is None
    assert found.visited_count > 10_000


def test_random_walks_of_two_agents_with_losses_and_deaths_mix_nothing() -> None:
    draw = Random(20)
    for _ in range(WALK_COUNT):
        state = initial_state(3)
        for _ in range(STEPS_PER_WALK):
            following = sorted(
                next_states(state, RESCUE_WALK_LIMITS, PRODUCTION_RULES), key=repr
            )
            if not following:
                break
            state = draw.choice(following)
            assert not is_mixed(state)


def test_no_pass_stays_held_for_good() -> None:
    """A held pass stops all streams, so every hold has to be released."""
    assert search_two_ranks().stuck_state is None


def test_arming_without_a_hold_mixes_maps() -> None:
    """If arming begins before the hold, a pass may begin between two arm orders."""

    def hasty(phase: Phase, group: GroupState) -> Phase:
        following = advance_phase(phase, group)
        match following:
            case Holding(version, layers, step):
                return Arming(version, layers, step)
        return following

    found = search(2, TWO_RANK_LIMITS, ProtocolRules(advance_phase=hasty))

    assert found.mixed_state is not None


def test_releasing_before_every_rank_is_armed_mixes_maps() -> None:
    def hasty(phase: Phase, group: GroupState) -> Phase:
        following = advance_phase(phase, group)
        match following:
            case Arming(version, layers, step) if any(
                one.armed == version for one in group.states_by_rank.values()
            ):
                return Releasing(version, layers, step)
        return following

    found = search(2, TWO_RANK_LIMITS, ProtocolRules(advance_phase=hasty))

    assert found.mixed_state is not None


def test_a_successor_that_releases_a_held_pass_unchecked_mixes_maps() -> None:
    """The crashed coordinator had armed one rank when its successor releases."""

    def careless(group: GroupState, layers: LayerPlacements) -> Phase:
        if group.held_step is None:
            return Idle()
        return Releasing(group.highest_version, layers, group.held_step)

    found = search(2, TWO_RANK_LIMITS, ProtocolRules(recover_phase=careless))

    assert found.mixed_state is not None


def test_a_successor_that_voids_a_version_armed_everywhere_mixes_maps() -> None:
    """The crashed coordinator may have sent a release that arrives late.

    It arrives while the successor disarms the ranks one by one.
    """

    def timid(group: GroupState, layers: LayerPlacements) -> Phase:
        if group.held_step is None:
            return Idle()
        return Voiding(
            group.highest_version + 1,
            layers,
            group.held_step,
            group.newest_pending_version,
        )

    found = search(
        2,
        TWO_RANK_LIMITS,
        ProtocolRules(recover_phase=timid, pending_orders=disarm_before_void),
    )

    assert found.mixed_state is not None
    assert recover_phase is not timid


@pytest.fixture
def next_pass_is_held(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(change_protocol, "HOLD_LEAD_PASSES", 1)


@pytest.mark.usefixtures("next_pass_is_held")
@pytest.mark.parametrize(
    ("ranks", "limits"), [(2, EARLY_HOLD_LIMITS), (3, EARLY_HOLD_THREE_RANK_LIMITS)]
)
def test_a_hold_that_is_ended_without_rank_0_mixes_nothing(
    ranks: int, limits: SearchLimits
) -> None:
    """The machine of rank 0 freezes after a hold and may wake at any moment.

    Another agent, which may or may not reach rank 0, ends the hold meanwhile.
    """
    found = search(ranks, limits)

    assert found.mixed_state is None
    assert found.stuck_state is None
    assert found.visited_count > 20_000


@pytest.mark.usefixtures("next_pass_is_held")
def test_with_rank_0_armed_before_others_a_hold_ended_without_it_mixes_maps() -> None:
    def in_any_order(phase: Phase, group: GroupState) -> tuple[PendingOrder, ...]:
        if not isinstance(phase, Arming):
            return pending_orders(phase, group)
        return tuple(
            PendingOrder(rank, Arm(group.epoch, phase.version, phase.step))
            for rank, state in group.states_by_rank.items()
            if phase.version not in (state.armed, state.version)
        )

    found = search(2, EARLY_HOLD_LIMITS, ProtocolRules(pending_orders=in_any_order))

    assert found.mixed_state is not None


@pytest.mark.usefixtures("next_pass_is_held")
def test_disarming_before_the_version_is_void_mixes_maps() -> None:
    """The machine of rank 0 wakes and still assumes that disarmed ranks are armed."""

    found = search(
        3,
        EARLY_HOLD_THREE_RANK_LIMITS,
        ProtocolRules(pending_orders=disarm_before_void),
    )

    assert found.mixed_state is not None


def test_a_voided_change_whose_pass_began_is_not_reported_as_released() -> None:
    """The agent would plan the next change from a map that was never active."""
    states = {
        0: replace(make_rank_state(0), step=9, prepared=1),
        1: replace(make_rank_state(1), step=9, prepared=17),
    }
    group = GroupState(1, 2, states)
    arming = Arming(1, (), 9)

    after = advance_phase(arming, group)

    assert after == Idle()
    assert change_outcome(arming, after, group) is ChangeOutcome.VOIDED
