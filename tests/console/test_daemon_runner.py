from __future__ import annotations

import subprocess
import sys
import time
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from subprocess import Popen

# Prints the time at which a stop begins, on the clock that all processes share.
PROGRAM = """
import time
from kingcupwheel.console.daemon_runner import _SignalReceiver

signals = _SignalReceiver()
print("ready", flush=True)
signals.wait_for_stop(lambda: None)
print(time.monotonic(), flush=True)
"""
# Signals come at as many moments of the time between two looks.
SIGNALS = 8
PROMPT_S = 0.03


# Guards against a stop whose grace is counted late, from the next look for a signal.
def test_a_stop_begins_at_once_when_its_signal_comes() -> None:
    late_s = []
    for number in range(SIGNALS):
        process = subprocess.Popen([sys.executable, "-c", PROGRAM], stdout=-1)
        assert _line(process) == "ready"
        time.sleep(0.2 + number * 0.1 / SIGNALS)
        asked_at = time.monotonic()
        process.terminate()
        late_s.append(float(_line(process)) - asked_at)
        process.wait()

    assert sorted(late_s)[SIGNALS // 2] < PROMPT_S


def _line(process: Popen[bytes]) -> str:
    assert process.stdout is not None
    return process.stdout.readline().decode().strip()
