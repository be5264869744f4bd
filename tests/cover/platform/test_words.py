"""The platform's words stay in platform/."""

import pathlib
import re

ROOT = pathlib.Path(__file__).parents[3]
WORDS = re.compile(
    r"attempt-id|server-seal|expect-instance|not-executed|program-id"
    r"|session-id|token-budget|token-count|prompt-prefix|previous-turn"
    r"|program-priority|program-deadline|kv-from|kv-backup|kv-fetch"
    r"|rows-tx|rows-get|rows-feed|blob-put|endivepier/readyz|api_keys"
    r"|rate_per_s"
    r"|hostname\"|chunk_tokens|cold_left_ms|seq_no|op/config"
    r"|retention_s\b|target_gap_ms|target_latency_ms|max_conns|max_attempts",
    re.IGNORECASE,
)


def test_no_word_of_the_wire_stands_outside_the_adapter():
    found = [
        f"{path.relative_to(ROOT)}: {match.group()}"
        for path in sorted((ROOT / "src").rglob("*.py"))
        for match in WORDS.finditer(path.read_text())
    ]
    assert not found


def test_the_adapter_stays_small():
    sizes = [
        len(path.read_text().splitlines())
        for path in (ROOT / "platform").rglob("*.py")
    ]
    assert sum(sizes) <= 1500
