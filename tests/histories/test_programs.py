"""Histories of programs under random faults, judged by the checker."""

import hypothesis
from hypothesis import strategies as st

from tests.common import faults
from tests.common import histories


def test_a_fleet_without_faults_keeps_every_guarantee():
    history = histories.History(1)
    assert history.run() == []
    assert history.recorder.refused == []
    assert all(call.answers for call in history.recorder.calls)


@hypothesis.given(seed=st.integers(0, 10**6), drawn=faults.faults())
@hypothesis.settings(max_examples=40)
def test_every_guarantee_holds_under_two_faults(seed, drawn):
    history = histories.History(seed)
    assert history.run(drawn) == []
