"""Checks a recorded history; shares no code with the product.

Each check yields the violations that it finds, as sentences.
"""

import collections

RELEASE_DEADLINE_SECONDS = 15.0


def check(recorder, held_sessions=None, now=0.0):
    """Returns all violations in a recorded history.

    Args:
        recorder: the recorder of the history.
        held_sessions: sessions of which engines hold a prefix at the end;
            None to leave that unchecked.
        now: time of the end, in seconds.
    """
    violations = [
        *_check_answers(recorder),
        *_check_prompts(recorder),
        *_check_budgets(recorder),
        *_check_durability(recorder),
    ]
    if held_sessions is not None:
        violations.extend(_check_engine_memory(recorder, held_sessions, now))
    return violations


def _check_answers(recorder):
    """Checks that each call gets its own, whole answer.

    Duplicates of a call must get the same answer.
    """
    texts = collections.defaultdict(dict)
    for run in recorder.runs:
        if run.finished and run.messages:
            texts[run.session].setdefault(run.messages[-1].content, set()).add(
                run.text
            )
    for call in recorder.calls:
        generated_texts = texts[call.program].get(call.added[-1].content, set())
        for answer in call.answers:
            if answer.call_id != call.call_id:
                yield f"{call.call_id} got the answer of {answer.call_id}"
            if answer.text not in generated_texts:
                yield f"{call.call_id}: the answer is not what an engine said"
        if len({(a.text, a.turn) for a in call.answers}) > 1:
            yield f"{call.call_id}: a duplicate got another answer"


def _check_prompts(recorder):
    """Checks that each prompt is the program's own history and one call."""
    generated = collections.defaultdict(set)
    for run in recorder.runs:
        generated[run.session].add(run.text)
    answered_calls = collections.defaultdict(list)
    for call in recorder.calls:
        if call.answers:
            answered_calls[call.program].append((call, call.answers[0]))
    for run in recorder.runs:
        yield from _check_prompt(
            run, generated[run.session], answered_calls[run.session]
        )


def _check_prompt(run, generated, answered_calls):
    for message in run.messages:
        if message.role == "assistant":
            if message.content not in generated:
                yield f"{run.request_id}: a foreign answer in the prompt"
        elif not message.content.startswith(run.session + " "):
            yield f"{run.request_id}: a foreign message in the prompt"
    # The prompt continues the calls that were answered before this one.
    expected = []
    for call, answer in answered_calls:
        if call.added[0] == run.messages[-1] or call.started > run.at:
            break
        expected.append(call.added[0].content)
        expected.append(answer.text)
    contents = [message.content for message in run.messages[:-1]]
    if contents != expected:
        yield f"{run.request_id}: the prompt is not the history so far"


def _check_budgets(recorder):
    """Checks that programs with their children stay within the budget."""
    used_tokens = collections.Counter()
    calls = collections.Counter()
    for run in recorder.runs:
        used_tokens[run.session] += run.tokens
    for call in recorder.calls:
        calls[call.program] += bool(call.answers)
    for program in recorder.programs.values():
        family = [
            other.program
            for other in recorder.programs.values()
            if program.program in (other.program, other.parent)
        ]
        tokens = sum(used_tokens[program_id] for program_id in family)
        if tokens > program.tokens:
            yield f"{program.program} used {tokens} of {program.tokens} tokens"
        if sum(calls[program_id] for program_id in family) > program.calls:
            yield f"{program.program} made more than {program.calls} calls"
        for run in recorder.runs:
            is_late = run.at - program.created > program.seconds + 0.1
            if run.session == program.program and is_late:
                yield f"{program.program} ran after its time"


def _check_durability(recorder):
    """Checks that the history has each answered turn once and in order."""
    for program_id, view in recorder.final.items():
        answered = [
            (call.call_id, call.answers[0])
            for call in recorder.calls
            if call.program == program_id and call.answers
        ]
        stored = [(turn.call_id, turn.answer) for turn in view.turns]
        call_ids = [call_id for call_id, _ in stored]
        if len(set(call_ids)) != len(call_ids):
            yield f"{program_id}: a call made two turns"
        if [(i, a.text) for i, a in answered] != [
            pair for pair in stored if pair[0] in {i for i, _ in answered}
        ]:
            yield (
                f"{program_id}: an answered turn is lost, changed or out of "
                "order"
            )
        if [answer.turn for _, answer in answered] != sorted(
            answer.turn for _, answer in answered
        ):
            yield f"{program_id}: turns are out of order"


def _check_engine_memory(recorder, held_sessions, now):
    """Checks that engines have released the prefixes of ended programs."""
    for program in recorder.programs.values():
        end_times = [program.created + program.seconds]
        if program.ended is not None:
            end_times.append(program.ended)
        if (
            min(end_times) + RELEASE_DEADLINE_SECONDS < now
            and program.program in held_sessions
        ):
            yield f"{program.program} is over, but an engine holds its prefix"
