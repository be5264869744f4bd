import signal
import threading
import time

import openai
import pytest

from bench import processes

TOKENS = 300


@pytest.mark.parametrize("stopped", [["sidecar1"], ["entry", "sidecar1"]])
def test_a_stream_completes_while_its_hosts_stop_gracefully(stopped):
    with processes.Processes() as fleet:
        applied = fleet.command("release", "apply", "docs/example-note.toml")
        assert applied.returncode == 0, applied.stderr
        fleet.wait_for_release()
        client = openai.OpenAI(
            base_url=fleet.url + "/v1",
            api_key=processes.CALLER_KEY,
            max_retries=0,
        )
        begun = threading.Event()
        reasons, words = [], []

        def stream():
            for chunk in client.chat.completions.create(
                model="cheque-reader",
                messages=[{"role": "user", "content": "read cheque 17"}],
                max_tokens=TOKENS,
                stream=True,
            ):
                begun.set()
                words.extend((chunk.choices[0].delta.content or "").split())
                reasons.append(chunk.choices[0].finish_reason)

        task = threading.Thread(target=stream)
        task.start()
        assert begun.wait(timeout=30)
        for name in stopped:
            fleet.running[name].send_signal(signal.SIGTERM)
            time.sleep(0.1)
        task.join(timeout=60)
        assert reasons[-1] == "length"
        assert len(words) == TOKENS
        for name in stopped:
            assert fleet.running[name].wait(timeout=60) == 0
