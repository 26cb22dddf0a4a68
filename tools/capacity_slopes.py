"""Measured slopes, kept in ``capacity_slopes.json`` beside this module."""

from __future__ import annotations

from pathlib import Path

import msgspec


SLOPES_PATH = Path(__file__).with_name("capacity_slopes.json")


class Point(msgspec.Struct, frozen=True):
    """A measured ``value`` at a ``size``."""

    size: float
    value: float


class Slope(msgspec.Struct, frozen=True):
    """How one cost grows: ``base`` plus ``per`` times size, by least squares.

    ``unit`` is the value's, ``size_unit`` the size's. A slope without points has not
    been measured; ``command`` says how it is.
    """

    name: str
    unit: str
    size_unit: str
    command: str
    points: tuple[Point, ...] = ()

    @property
    def is_measured(self) -> bool:
        """True if there are two sizes at least."""
        return len({point.size for point in self.points}) > 1

    @property
    def gradient(self) -> float:
        """Growth of the value with one more of size."""
        sizes = [point.size for point in self.points]
        mean_size, mean_value = _mean(sizes), self._mean_value
        above = sum((p.size - mean_size) * (p.value - mean_value) for p in self.points)
        below = sum((size - mean_size) ** 2 for size in sizes)
        return above / below

    @property
    def intercept(self) -> float:
        """The value at size 0."""
        return self._mean_value - self.gradient * _mean([p.size for p in self.points])

    @property
    def _mean_value(self) -> float:
        return _mean([point.value for point in self.points])

    def value_at(self, size: float) -> float:
        """Return the value worked out for ``size``."""
        return self.intercept + self.gradient * size


class Slopes(msgspec.Struct, frozen=True):
    """All slopes and the machine they were measured on."""

    machine: str
    commit: str
    measured_at: str
    by_name: dict[str, Slope]


def load_slopes(path: Path = SLOPES_PATH) -> Slopes:
    """Return the slopes last measured."""
    return msgspec.json.decode(path.read_bytes(), type=Slopes)


def save_slopes(slopes: Slopes, path: Path = SLOPES_PATH) -> None:
    """Write the slopes."""
    encoded = msgspec.json.format(msgspec.json.encode(slopes), indent=1)
    path.write_bytes(encoded + b"\n")


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)
