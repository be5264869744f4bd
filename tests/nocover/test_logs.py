"""Logs of a process whose standard output nobody reads."""

import json
import subprocess
import sys
import threading

LINES = 500
TIMEOUT_SECONDS = 30
SCRIPT = f"""
import sys
import eliot
import gevent
from endivepier.telemetry import logs

logs.to_stdout()
for number in range({LINES}):
    eliot.log_message("test.line", number=number, filler="x" * 1000)
gevent.sleep(0.2)
print("running", file=sys.stderr, flush=True)
gevent.get_hub().threadpool.apply(sys.stdin.read)  # until the parent is done
gevent.sleep(0.2)
"""


# A full pipe at standard output blocked the whole process until somebody read.
def test_a_pipe_that_nobody_reads_does_not_stop_the_process():
    process = subprocess.Popen(
        [sys.executable, "-c", SCRIPT],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
    watchdog = threading.Timer(TIMEOUT_SECONDS, process.kill)
    watchdog.start()
    assert process.stderr.readline() == b"running\n"
    lines = [json.loads(process.stdout.readline()) for _ in range(LINES)]
    assert [line["number"] for line in lines] == list(range(LINES))
    process.communicate()
    watchdog.cancel()
    assert process.returncode == 0
