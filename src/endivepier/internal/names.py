"""Names in messages of other processes: of hosts, targets, programs and calls.

Processes keep such names. Without a limit, one message could add megabytes.
"""

from __future__ import annotations

from typing import Annotated

import pydantic

# A key of a row, the longest name, with the start time of a target.
MAX_CHARACTERS = 256

Name = Annotated[str, pydantic.StringConstraints(max_length=MAX_CHARACTERS)]
