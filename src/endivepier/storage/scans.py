"""Reads all rows with a prefix, page by page."""

from __future__ import annotations

from endivepier.storage import ports

PAGE_ROWS = 500


def read_all(table: ports.Table, prefix: str) -> list[ports.Row]:
    """Returns all rows whose key starts with `prefix`, in order of key.

    The pages are read one after the other, so that rows which change meanwhile
    may be as of different moments.

    Raises:
        errors.Unavailable: a page could not be read.
    """
    rows: list[ports.Row] = []
    after = ""
    while True:
        page = table.scan(prefix, after=after, limit=PAGE_ROWS)
        rows.extend(page.rows)
        if not page.more:
            return rows
        after = page.rows[-1].key
