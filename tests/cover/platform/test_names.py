"""The platform's names occur in platform/ only, which stays small."""

import pathlib
import re

ROOT = pathlib.Path(__file__).parents[3]
PLATFORM_NAMES = re.compile(
    r"attempt-id|server-seal|expect-instance|not-executed|program-id"
    r"|session-id|token-budget|token-count|prompt-prefix|previous-turn"
    r"|program-priority|program-deadline|kv-from|kv-backup|kv-fetch"
    r"|rows-tx|rows-get|rows-feed|blob-put|endivepier/readyz|api_keys"
    r"|rate_per_s"
    r"|hostname\"|chunk_tokens|cold_left_ms|seq_no|op/config"
    r"|retention_s\b|target_gap_ms|target_latency_ms|max_conns|max_attempts",
    re.IGNORECASE,
)


def test_src_contains_no_names_of_the_platform():
    occurrences = [
        f"{path.relative_to(ROOT)}: {match.group()}"
        for path in sorted((ROOT / "src").rglob("*.py"))
        for match in PLATFORM_NAMES.finditer(path.read_text())
    ]
    assert not occurrences


def test_the_adapter_has_at_most_1500_lines():
    sizes = [
        len(path.read_text().splitlines())
        for path in (ROOT / "platform").rglob("*.py")
    ]
    assert sum(sizes) <= 1500
