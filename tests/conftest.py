import os
import pathlib
import re

import hypothesis
import pytest

from endivepier.internal import loop

loop.configure()

hypothesis.settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    print_blob=True,
    # A failing history takes minutes to shrink; do that with the profile dev.
    phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.register_profile("dev", deadline=None)
hypothesis.settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def pytest_collection_modifyitems(items):
    """Expects the tests that KNOWN-RED.txt names to fail, and no others."""
    text = KNOWN_RED.read_text(encoding="utf-8")
    known_red = set(re.findall(r"tests/[\w/]+\.py::[\w\[\]-]+", text))
    for item in items:
        names = {item.nodeid, item.nodeid.partition("[")[0]}
        if names & known_red:
            item.add_marker(
                pytest.mark.xfail(strict=True, reason="see KNOWN-RED.txt")
            )
