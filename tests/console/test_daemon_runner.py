from __future__ import annotations

import subprocess
import sys
import time
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from subprocess import Popen

# Prints the time at which the stop begins; all processes share the monotonic clock.
PROGRAM = """
import time
from kingcupwheel.console.daemon_runner import _SignalReceiver

signals = _SignalReceiver()
print("ready", flush=True)
signals.wait_for_stop(lambda: None)
print(time.monotonic(), flush=True)
"""
# The signals are spread evenly over one poll interval of 0.1 s.
SIGNAL_COUNT = 8
MAX_MEDIAN_DELAY_S = 0.03


# Guards against a grace period that starts only at the next poll after the signal.
def test_a_stop_begins_at_once_when_its_signal_comes() -> None:
    delays_s = []
    for number in range(SIGNAL_COUNT):
        process = subprocess.Popen([sys.executable, "-c", PROGRAM], stdout=-1)
        assert _read_line(process) == "ready"
        time.sleep(0.2 + number * 0.1 / SIGNAL_COUNT)
        signalled_at = time.monotonic()
        process.terminate()
        delays_s.append(float(_read_line(process)) - signalled_at)
        process.wait()

    assert sorted(delays_s)[SIGNAL_COUNT // 2] < MAX_MEDIAN_DELAY_S


def _read_line(process: Popen[bytes]) -> str:
    assert process.stdout is not None
    return process.stdout.readline().decode().strip()
