"""Measured slopes, stored in ``capacity_slopes.json`` next to this module."""

from __future__ import annotations

from pathlib import Path

import msgspec


SLOPES_PATH = Path(__file__).with_name("capacity_slopes.json")


class Point(msgspec.Struct, frozen=True):
    """A measured ``value`` at a ``size``."""

    size: float
    value: float


class Slope(msgspec.Struct, frozen=True):
    """Least-squares line of one cost: ``intercept`` plus ``gradient`` times size.

    ``unit`` is that of the values, ``size_unit`` that of the sizes. A slope without
    points has not been measured; ``command`` is the command that measures it.
    """

    name: str
    unit: str
    size_unit: str
    command: str
    points: tuple[Point, ...] = ()

    @property
    def is_measured(self) -> bool:
        """True if there are points of at least two sizes."""
        return len({point.size for point in self.points}) > 1

    @property
    def gradient(self) -> float:
        """Growth of the value for each additional unit of size."""
        sizes = [point.size for point in self.points]
        mean_size, mean_value = _mean(sizes), self._mean_value
        covariance_sum = sum(
            (p.size - mean_size) * (p.value - mean_value) for p in self.points
        )
        variance_sum = sum((size - mean_size) ** 2 for size in sizes)
        return covariance_sum / variance_sum

    @property
    def intercept(self) -> float:
        """The value at size 0."""
        return self._mean_value - self.gradient * _mean([p.size for p in self.points])

    @property
    def _mean_value(self) -> float:
        return _mean([point.value for point in self.points])

    def value_at(self, size: float) -> float:
        """Return the value computed for ``size``."""
        return self.intercept + self.gradient * size


class Slopes(msgspec.Struct, frozen=True):
    """All slopes, with the machine, commit and time of their measurement."""

    machine: str
    commit: str
    measured_at: str
    by_name: dict[str, Slope]


def load_slopes(path: Path = SLOPES_PATH) -> Slopes:
    """Return the slopes stored at ``path``."""
    return msgspec.json.decode(path.read_bytes(), type=Slopes)


def save_slopes(slopes: Slopes, path: Path = SLOPES_PATH) -> None:
    """Write the slopes to ``path``."""
    encoded = msgspec.json.format(msgspec.json.encode(slopes), indent=1)
    path.write_bytes(encoded + b"\n")


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)
