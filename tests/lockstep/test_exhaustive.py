"""Every order of events of a small group, with and without the safeguards."""

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


# Two changes, a coordinator that dies once, an order without an answer and passes
# enough for both changes to come into force.
TWO_RANK_LIMITS = SearchLimits(changes=2, lives=2, lost=1, steps=6)
# For three ranks one change and one late order keep the search to seconds.
THREE_RANK_LIMITS = SearchLimits(changes=1, lives=2, lost=1, steps=3)
# Beside a second agent that completes what it finds: every order of events of one life
# without losses, and random ones with all of it.
RESCUE_LIMITS = SearchLimits(changes=1, lives=1, lost=0, steps=3, rescues=True)
RESCUE_WALK_LIMITS = SearchLimits(changes=3, lives=3, lost=3, steps=20, rescues=True)
# The same with passes that begin right after they are asked to be held, so that a few
# steps see changes come into force: two changes and a late order, and three ranks.
EARLY_HOLD_LIMITS = SearchLimits(changes=2, lives=1, lost=1, steps=2, rescues=True)
EARLY_HOLD_THREE_RANK_LIMITS = SearchLimits(
    changes=1, lives=1, lost=0, steps=2, rescues=True
)
WALK_COUNT = 400
STEPS_PER_WALK = 150


def disarm_before_void(phase: Phase, group: GroupState) -> tuple[PendingOrder, ...]:
    """Return what the product wants, but disarm before the version is void."""
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
    """The coordinator dies at any point; its orders arrive whenever they like.

    Two ranks, two changes, two lives, an order that gets no answer and is carried
    out later, in every order. A pass on two maps would garble what callers read.
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
    """The coordinator is frozen in the middle of a change, and wakes in the middle.

    Another agent reads the ranks one by one, arms the rest and releases the pass; the
    coordinator, or its next life, does the same at any moment between.
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
    """A held pass stops every caller's stream; somebody always releases it."""
    assert search_two_ranks().stuck_state is None


def test_arming_without_a_hold_mixes_maps() -> None:
    """Arming begins before the pass is held: the first pass may begin between arms."""

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
    """The former life had armed one rank; the successor lets the pass begin."""

    def careless(group: GroupState, layers: LayerPlacements) -> Phase:
        if group.held_step is None:
            return Idle()
        return Releasing(group.highest_version, layers, group.held_step)

    found = search(2, TWO_RANK_LIMITS, ProtocolRules(recover_phase=careless))

    assert found.mixed_state is not None


def test_a_successor_that_voids_a_version_armed_everywhere_mixes_maps() -> None:
    """The former life may have released the pass by an order still on its way.

    The successor takes the armings back one by one; the release arrives between.
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
    """Rank 0's machine freezes after a hold and wakes at any moment of its end.

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
    """The machine of rank 0 wakes and finds ranks armed that no longer are."""

    found = search(
        3,
        EARLY_HOLD_THREE_RANK_LIMITS,
        ProtocolRules(pending_orders=disarm_before_void),
    )

    assert found.mixed_state is not None


def test_a_voided_change_whose_pass_began_is_not_reported_as_released() -> None:
    """The agent would move experts from a map that never came into force."""
    states = {
        0: replace(make_rank_state(0), step=9, prepared=1),
        1: replace(make_rank_state(1), step=9, prepared=17),
    }
    group = GroupState(1, 2, states)
    arming = Arming(1, (), 9)

    after = advance_phase(arming, group)

    assert after == Idle()
    assert change_outcome(arming, after, group) is ChangeOutcome.VOIDED
