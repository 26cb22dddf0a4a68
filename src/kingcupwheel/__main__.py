"""Entry point of ``python -m kingcupwheel``."""

from __future__ import annotations

from kingcupwheel.console.application import main


if __name__ == "__main__":
    main()
