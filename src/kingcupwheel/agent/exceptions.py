"""Errors of the agent."""

from __future__ import annotations

from kingcupwheel.exceptions import KingcupwheelError


class AgentError(KingcupwheelError):
    """Base class of the agent's errors."""


class MissingServerError(AgentError):
    """The settings lack a backend server."""

    def __init__(self) -> None:
        super().__init__("server: an agent needs the backend server's url")


class WrongRoleError(AgentError):
    """The settings are for another role."""

    def __init__(self, role: str) -> None:
        super().__init__(f"role: these are the settings of an {role}, not of an agent")
