import argparse
import dataclasses
import re

import hypothesis
from hypothesis import strategies as st
import pytest

from endivepier.cli import key as key_command
from endivepier.cli import release
from endivepier.configuration import changes
from endivepier.configuration import checking
from endivepier.configuration import declarations
from endivepier.configuration import keys
from endivepier.configuration import notes
from endivepier.configuration import state as state_lib

CALLER_DIGEST, OPERATOR_DIGEST = "a" * 64, "b" * 64
BASE = f"""
[[added.accounts]]
name = "one"
rate = 5.0
burst = 9.0
[[added.keys]]
digest = "{CALLER_DIGEST}"
account = "one"
[[added.keys]]
digest = "{OPERATOR_DIGEST}"
role = "operator"
[[added.pools]]
name = "engines"
kind = "engine"
[[added.pools]]
name = "services"
kind = "service"
[[added.targets]]
name = "t"
pool = "engines"
[[added.models]]
name = "m"
pool = "engines"
[[added.routes]]
prefix = "/r/"
pool = "services"
[[added.templates]]
name = "x"
model = "m"
"""


def _apply(text, state=None):
    state = state or state_lib.State()
    return changes.apply_changes(
        checking.resolve(notes.parse(text), state), state
    )


@pytest.fixture(scope="module")
def base():
    return _apply(BASE)


def _faults(text, state):
    with pytest.raises(notes.InvalidNote) as caught:
        _apply(text, state)
    return caught.value.faults


@pytest.mark.parametrize(
    ("text", "path", "problem"),
    [
        (
            "[withdrawn]\naccounts = ['one']",
            "accounts[0]",
            "still used by keys",
        ),
        (
            "[withdrawn]\npools = ['engines']",
            "pools[0]",
            "still used by targets",
        ),
        (
            "[withdrawn]\npools = ['engines']",
            "pools[0]",
            "still used by models",
        ),
        (
            "[withdrawn]\npools = ['services']",
            "pools[0]",
            "still used by routes",
        ),
        ("[withdrawn]\nmodels = ['m']", "models[0]", "still used by templates"),
        ("[withdrawn]\nkinds = ['gone']", "kinds[0]", "there is no 'gone'"),
        (
            f"[withdrawn]\nkeys = ['{OPERATOR_DIGEST}']",
            "keys[0]",
            "last operator's",
        ),
        (
            "[[changed.targets]]\nname = 'u'\npool = 'engines'",
            "",
            "there is no",
        ),
        (
            "[[added.targets]]\nname = 't'\npool = 'engines'",
            "",
            "already exists",
        ),
        ("[[added.models]]\nname = 'n'\npool = 'services'", "pool", "of kind"),
        ("[[added.routes]]\nprefix = '/q'\npool = 'no'", "pool", "no 'no'"),
        ("[[changed.pools]]\nname = 'engines'\nkind = 'service'", "", "can't"),
        (
            f"[[changed.keys]]\ndigest = '{CALLER_DIGEST}'\naccount = 'x'",
            "",
            "can't",
        ),
        ("[[added.accounts]]\nname = 'n'\nrate = inf\nburst = 1.0", "rate", ""),
        ("[[added.accounts]]\nname = 'n'\nrate = 0\nburst = 1.0", "rate", ""),
        ("[[added.accounts]]\nname = ''\nrate = 1\nburst = 1.0", "name", ""),
        ("[[added.accounts]]\nname = 'n'\nrate = '5'\nburst = 1", "rate", ""),
        ("[[added.pools]]\nname = 'A b'\nkind = 'engine'", "name", ""),
        ("[[added.accounts]]\nname = 'n'\nrates = 1", "rates", "no such field"),
        ("added = 3", "added", "not a table"),
        ("[added]\naccounts = 3", "accounts", "not a list"),
        ("[added]\naccounts = [3]", "accounts[0]", "not a table"),
        ("[added]\nthings = []", "things", "no such section"),
        ("titel = 'x'", "titel", "titel"),
        ("title = 3", "title", "3 is invalid"),
        ("based_on = true", "based_on", "True is invalid"),
        ("", "", "changes nothing"),
        ("[", "", "not TOML"),
        ("title = '" + "x" * notes.MAX_NOTE_BYTES + "'", "", "over"),
    ],
)
def test_reports_a_fault_with_its_path_and_fix(base, text, path, problem):
    faults = _faults(text, base)
    descriptions = [str(f) for f in faults if problem in f.problem]
    assert any(path in text for text in descriptions), faults
    assert all(fault.fix for fault in faults)


def test_reports_all_faults_at_once_and_what_else_to_withdraw(base):
    text = (
        "[[added.accounts]]\nname = 'one'\nrate = 1.0\nburst = 1.0\n"
        "[withdrawn]\npools = ['engines', 'gone']\nmodels = ['m']\n"
    )
    faults = [str(fault) for fault in _faults(text, base)]
    assert len(faults) == 4
    assert any("withdraw these targets as well: 't'" in f for f in faults)


def test_a_note_can_withdraw_an_account_together_with_its_key(base):
    text = f"[withdrawn]\naccounts = ['one']\nkeys = ['{CALLER_DIGEST}']\n"
    assert "one" not in _apply(text, base).accounts


def test_a_change_keeps_the_fields_that_it_does_not_name(base):
    after = _apply("[[changed.accounts]]\nname = 'one'\nrate = 7.0", base)
    assert after.accounts["one"] == state_lib.Account("one", 7.0, 9.0)


def test_a_note_evacuates_a_data_centre_and_another_takes_it_back(base):
    evacuated = _apply(
        '[[added.evacuations]]\ndata_centre = "dakar-1"\nreason = "cooling"',
        base,
    )
    assert list(evacuated.evacuations) == ["dakar-1"]
    taken_back = _apply('withdrawn.evacuations = ["dakar-1"]', evacuated)
    assert taken_back.evacuations == {}
    with pytest.raises(notes.InvalidNote, match="there is no 'dakar-2'"):
        _apply('withdrawn.evacuations = ["dakar-2"]', evacuated)


# Builds from before evacuations compute the digest without that section.
def test_the_chain_of_a_note_without_evacuations_is_that_of_former_builds():
    note = notes.parse(
        'title = "t"\n[[added.accounts]]\nname = "one"\nrate = 5.0\nburst = 9.0'
    )
    changed = checking.resolve(note, state_lib.State())
    delta = changes.Delta(1, "c", "", "t", 1.5, changed)
    after = changes.apply_delta(delta, state_lib.State())
    assert after.chain == "e140f77c1db237f6b2b40605086bd837"


def test_never_repeats_a_key_written_in_place_of_a_digest(base):
    key = keys.new_key()
    text = f"[[added.keys]]\ndigest = '{key}'\naccount = 'one'\n"
    text += f"[withdrawn]\nkeys = ['{key}']\n"
    assert key not in " ".join(str(fault) for fault in _faults(text, base))


def _run(argv):
    parser = argparse.ArgumentParser()
    commands = parser.add_subparsers()
    release.add_to(commands)
    key_command.add_to(commands)
    args = parser.parse_args(argv)
    return args.run(args)


def test_check_works_without_an_entry_host_and_reports_lines(tmp_path, capsys):
    file = tmp_path / "note.toml"
    file.write_text(
        "title = 'x'\n\n[[added.accounts]]\nname = 'a'\nrate = -1.0\n"
        "burst = 2.0\n\n[[added.accounts]]\nname = 'b'\nburst = 'x'\n\n"
        "[withdrawn]\npools = [\n  'p',\n  'Q q',\n]\n"
    )
    assert _run(["release", "check", str(file)]) == 1
    lines = re.findall(r"note.toml:(\d+): (\S+):", capsys.readouterr().err)
    assert lines == [
        ("5", "added.accounts[0].rate"),
        ("10", "added.accounts[1].burst"),
        ("8", "added.accounts[1]"),
        ("15", "withdrawn.pools[1]"),
    ]
    file.write_text(BASE)
    assert _run(["release", "check", str(file)]) == 0


def test_prints_a_new_key_once_and_its_digest_as_toml(capsys):
    assert _run(["key", "new", "--account", 'o"ne', "--label", "é"]) == 0
    printed = capsys.readouterr()
    key = printed.out.strip()
    assert key not in printed.err
    entry = notes.parse(printed.err).entries[0]
    assert entry.fields == {
        "digest": keys.digest_of(key),
        "account": 'o"ne',
        "label": "é",
    }


LABELS = st.text(st.characters(exclude_categories=["Cs"]), max_size=20)
ACCOUNTS = st.builds(
    state_lib.Account,
    st.from_regex(r"[a-z]{1,3}", fullmatch=True),
    st.floats(0.001, 1e6),
    st.floats(1, 1e6),
    st.sampled_from([1.0, 2.5]),
)
MODELS = st.builds(
    state_lib.Model,
    st.from_regex(r"[a-z]{1,2}", fullmatch=True),
    st.just("engines"),
    LABELS,
    LABELS,
)


@st.composite
def states(draw):
    accounts = {a.name: a for a in draw(st.lists(ACCOUNTS, max_size=5))}
    models = {m.name: m for m in draw(st.lists(MODELS, max_size=4))}
    pool = state_lib.Pool("engines", state_lib.PoolKind.ENGINE)
    return dataclasses.replace(
        state_lib.State(),
        accounts=accounts,
        models=models,
        pools={"engines": pool},
    )


@hypothesis.given(old=states(), new=states())
def test_a_difference_turns_one_state_into_the_other(old, new):
    assert declarations.from_toml(declarations.to_toml(new)) == new
    note = declarations.difference(old, new)
    if not note:
        assert old == new
        return
    assert _apply(note, old) == new
