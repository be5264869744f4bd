"""Judges a recorded history; shares no code with the product.

Each judge returns the faults that it found, as sentences.
"""

import collections

RELEASE_SECONDS = 15.0


def judge(history, held=None, now=0.0):
    """Returns all faults of a history.

    Args:
        history: the recorder.
        held: sessions that the engines hold at the end, or None.
        now: the time of the end.
    """
    faults = [
        *_answers(history),
        *_prefixes(history),
        *_budgets(history),
        *_durable(history),
    ]
    if held is not None:
        faults.extend(_memory(history, held, now))
    return faults


def _answers(history):
    """Whole answers, to the right caller, the same for duplicates."""
    texts = collections.defaultdict(dict)
    for run in history.runs:
        if run.finished and run.messages:
            texts[run.session].setdefault(run.messages[-1].content, set()).add(
                run.text
            )
    for call in history.calls:
        own = texts[call.program].get(call.added[-1].content, set())
        for answer in call.answers:
            if answer.call_id != call.call_id:
                yield f"{call.call_id} got the answer of {answer.call_id}"
            if answer.text not in own:
                yield f"{call.call_id}: the answer is not what an engine said"
        if len({(a.text, a.turn) for a in call.answers}) > 1:
            yield f"{call.call_id}: a duplicate got another answer"


def _prefixes(history):
    """Each run's prompt is the program's own history, then one call."""
    said = collections.defaultdict(set)
    for run in history.runs:
        said[run.session].add(run.text)
    acked = collections.defaultdict(list)
    for call in history.calls:
        if call.answers:
            acked[call.program].append((call, call.answers[0]))
    for run in history.runs:
        yield from _one_prompt(run, said[run.session], acked[run.session])


def _one_prompt(run, said, acked):
    for message in run.messages:
        if message.role == "assistant":
            if message.content not in said:
                yield f"{run.request_id}: a foreign answer in the prompt"
        elif not message.content.startswith(run.session + " "):
            yield f"{run.request_id}: a foreign message in the prompt"
    expected = []
    for call, answer in acked:
        if call.added[0] == run.messages[-1] or call.started > run.at:
            break
        expected.append(call.added[0].content)
        expected.append(answer.text)
    contents = [message.content for message in run.messages[:-1]]
    if contents != expected:
        yield f"{run.request_id}: the prompt is not the history so far"


def _budgets(history):
    """Generated tokens and answered calls stay within the budget."""
    used = collections.Counter()
    calls = collections.Counter()
    for run in history.runs:
        used[run.session] += run.tokens
    for call in history.calls:
        calls[call.program] += bool(call.answers)
    for program in history.programs.values():
        family = [
            other.program
            for other in history.programs.values()
            if program.program in (other.program, other.parent)
        ]
        tokens = sum(used[name] for name in family)
        if tokens > program.tokens:
            yield f"{program.program} used {tokens} of {program.tokens} tokens"
        if sum(calls[name] for name in family) > program.calls:
            yield f"{program.program} made more than {program.calls} calls"
        for run in history.runs:
            late = run.at - program.created > program.seconds + 0.1
            if run.session == program.program and late:
                yield f"{program.program} ran after its time"


def _durable(history):
    """What was answered stands in the history, in order, once."""
    for name, view in history.final.items():
        order = [
            (call.call_id, call.answers[0])
            for call in history.calls
            if call.program == name and call.answers
        ]
        stored = [(turn.call_id, turn.answer) for turn in view.turns]
        ids = [call_id for call_id, _ in stored]
        if len(set(ids)) != len(ids):
            yield f"{name}: a call made two turns"
        if [(i, a.text) for i, a in order] != [
            pair for pair in stored if pair[0] in {i for i, _ in order}
        ]:
            yield f"{name}: an answered turn is lost, changed or out of order"
        if [answer.turn for _, answer in order] != sorted(
            answer.turn for _, answer in order
        ):
            yield f"{name}: turns are out of order"


def _memory(history, held, now):
    """Engines hold nothing of programs that ended some time ago."""
    for program in history.programs.values():
        over = [program.created + program.seconds]
        if program.ended is not None:
            over.append(program.ended)
        if min(over) + RELEASE_SECONDS < now and program.program in held:
            yield f"{program.program} is over, but an engine holds its prefix"
