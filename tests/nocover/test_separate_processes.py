"""The API and the commands against daemons in separate processes."""

import json
import signal

import openai
import pytest

from bench import processes


@pytest.fixture(scope="module")
def fleet():
    with processes.Processes() as running:
        applied = running.command("release", "apply", "docs/example-note.toml")
        assert applied.returncode == 0, applied.stderr
        running.wait_for_release()
        yield running


def _client(fleet, path="/v1"):
    return openai.OpenAI(
        base_url=fleet.url + path,
        api_key=processes.CALLER_KEY,
        max_retries=0,
    )


def _create(fleet):
    created = fleet.command(
        *("program", "create", "--template", "dispute"),
        key=processes.CALLER_KEY,
    )
    assert created.returncode == 0, created.stderr
    return json.loads(created.stdout)["id"]


def test_an_openai_client_needs_only_another_base_url(fleet):
    completion = _client(fleet).chat.completions.create(
        model="cheque-reader",
        messages=[{"role": "user", "content": "read cheque 17"}],
        max_tokens=5,
    )
    assert completion.choices[0].finish_reason == "length"
    assert completion.usage.completion_tokens == 5
    assert len(completion.choices[0].message.content.split()) == 5


def test_an_openai_client_streams_the_turns_of_a_program(fleet):
    program = _create(fleet)
    client = _client(fleet, f"/v1/programs/{program}")
    history = []
    for turn in range(3):
        history.append({"role": "user", "content": f"step {turn}"})
        chunks = client.chat.completions.create(
            model="cheque-reader",
            messages=history,
            max_tokens=4,
            stream=True,
        )
        text = "".join(chunk.choices[0].delta.content or "" for chunk in chunks)
        history.append({"role": "assistant", "content": text})
    shown = fleet.command("program", "show", program, key=processes.CALLER_KEY)
    assert json.loads(shown.stdout)["messages"] == history


def test_an_openai_client_raises_its_own_exceptions(fleet):
    client = openai.OpenAI(
        base_url=fleet.url + "/v1", api_key="wrong", max_retries=0
    )
    with pytest.raises(openai.AuthenticationError):
        client.chat.completions.create(
            model="cheque-reader",
            messages=[{"role": "user", "content": "hello"}],
        )


def test_commands_create_call_show_and_end_a_program(fleet):
    key = processes.CALLER_KEY
    program = _create(fleet)
    called = fleet.command("program", "call", program, "hello", key=key)
    assert called.returncode == 0, called.stderr
    ended = fleet.command("program", "end", program, key=key)
    assert json.loads(ended.stdout)["status"] == "ended"
    again = fleet.command("program", "call", program, "hello", key=key)
    assert again.returncode == 1
    assert json.loads(again.stderr)["code"] == "program_ended"


def test_programs_survive_a_kill_of_every_daemon(fleet):
    program = _create(fleet)
    key = processes.CALLER_KEY
    fleet.command("program", "call", program, "hello", key=key)
    before = fleet.command("program", "show", program, key=key)
    for name in ("entry", "sidecar1", "sidecar2"):
        fleet.running[name].kill()
        fleet.running[name].wait()
    fleet.start_daemons()
    fleet.wait_for_release()
    after = fleet.command("program", "show", program, key=key)
    before, after = json.loads(before.stdout), json.loads(after.stdout)
    assert after["messages"] == before["messages"]
    called = fleet.command("program", "call", program, "again", key=key)
    assert called.returncode == 0, called.stderr


def test_sigterm_ends_each_daemon_with_exit_code_0(fleet):
    for name in ("sidecar1", "sidecar2", "entry"):
        fleet.running[name].send_signal(signal.SIGTERM)
        assert fleet.running[name].wait(timeout=60) == 0
