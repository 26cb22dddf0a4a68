"""Which agents a coordinator asks through others. Pure.

Load: a group of 72 ranks on links of 4 Mbit/s. Harm prevented: the counts of all ranks,
1.7 KB each, take the coordinator's link for a quarter of a second, and a map of 3 KB to
each of them for nearly half; until both are through the group runs on the old map. An
agent asked for a branch passes the question on to its members and sums their counts, so
the coordinator's link carries an eighth of that, and each answer crosses between data
centres once a branch instead of once a rank.
"""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Mapping

# Groups of up to so many ranks are asked directly: their counts (a quarter of a
# kilobyte a rank) are through in 10 ms, and a branch costs a hop of 2 to 4 ms.
MAX_DIRECT_RANKS = 24
# Agents in a branch, its head among them: near the square root of 72, at which the
# coordinator's link and a head's carry as much.
MAX_BRANCH_AGENTS = 8


def assign_branch_heads(data_centres_by_agent: Mapping[str, str]) -> dict[str, str]:
    """Return the agent through which each agent is asked: itself, or its branch's head.

    A branch is within one data centre.
    """
    agents = sorted(data_centres_by_agent)
    if len(agents) <= MAX_DIRECT_RANKS:
        return {agent: agent for agent in agents}
    by_data_centre: dict[str, list[str]] = {}
    for agent in agents:
        by_data_centre.setdefault(data_centres_by_agent[agent], []).append(agent)
    heads: dict[str, str] = {}
    for members in by_data_centre.values():
        for start in range(0, len(members), MAX_BRANCH_AGENTS):
            branch = members[start : start + MAX_BRANCH_AGENTS]
            heads.update(dict.fromkeys(branch, branch[0]))
    return heads
