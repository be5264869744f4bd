"""Release notes as operators write them: TOML, read with all its faults.

title = "one bank more"
based_on = 41                  # optional: refuse if the head is another

[[added.accounts]]
name = "bank-nine"
rate = 20.0
burst = 40.0

[[changed.accounts]]           # only the fields that change
name = "bank-one"
rate = 30.0

[withdrawn]
keys = ["<digest>"]
"""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses
import enum
import functools
import json
import tomllib
import typing
from typing import Any

import pydantic

from endivepier import errors
from endivepier.configuration import changes as changes_lib

MAX_NOTE_BYTES = 256 * 1024
MAX_TITLE = 200
MAX_SHOWN_FAULTS = 100
TOP_FIELDS = ("title", "based_on", "added", "changed", "withdrawn")
KEY_FIX = (
    "write the digest that `endivepier key new` prints, never the key itself"
)

Path = tuple[str | int, ...]


class Verb(enum.StrEnum):
    """What a note does to an object; also the name of its table."""

    ADDED = "added"
    CHANGED = "changed"
    WITHDRAWN = "withdrawn"


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Something wrong with a note.

    Attributes:
        path: keys and list indices that lead to it in the TOML document.
        problem: what is wrong.
        fix: what to write instead.
    """

    path: Path
    problem: str
    fix: str

    def __str__(self) -> str:
        where = "".join(
            f"[{part}]" if isinstance(part, int) else f".{part}"
            for part in self.path
        )
        return f"{where[1:] or 'the note'}: {self.problem}; {self.fix}"


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One object that a note names.

    Attributes:
        verb: what happens to it.
        section: the kind of object.
        name: its unique name.
        path: where it stands in the note.
        fields: the values that the note gives, validated.
    """

    verb: Verb
    section: str
    name: str
    path: Path
    fields: Mapping[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Note:
    """A release note without faults of its own.

    Attributes:
        title: what people call it.
        based_on: the revision that it was written for, or None for any.
        entries: what it does, in the order of the sections.
    """

    title: str
    based_on: int | None
    entries: tuple[Entry, ...]


class InvalidNote(errors.Refused):
    """Raised for a note with faults. Mend them all, then apply it again.

    Attributes:
        faults: every fault.
    """

    def __init__(self, faults: tuple[Fault, ...]) -> None:
        shown = "\n".join(str(fault) for fault in faults[:MAX_SHOWN_FAULTS])
        super().__init__(errors.Code.BAD_REQUEST, 400, shown)
        self.faults = faults


def parse(text: str) -> Note:
    """Returns the note that a TOML text spells.

    Raises:
        InvalidNote: with all faults that show without knowing the state.
    """
    if len(text.encode()) > MAX_NOTE_BYTES:
        raise InvalidNote(
            (
                Fault(
                    (),
                    f"it is over {MAX_NOTE_BYTES} bytes",
                    "split it into several notes",
                ),
            )
        )
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        raise InvalidNote((Fault((), f"not TOML: {exc}", "mend it"),)) from None
    return _Reader(document).note()


class _Reader:
    """Reads one document and gathers faults on the way."""

    def __init__(self, document: Mapping[str, Any]) -> None:
        self._document = document
        self._faults: list[Fault] = []
        self._entries: list[Entry] = []

    def note(self) -> Note:
        """Returns the note, or raises `InvalidNote`."""
        self._check_fields(
            self._document, (), TOP_FIELDS, "there is no such table or field"
        )
        for verb in Verb:
            self._read_table(verb)
        title = self._value((), "title", self._document.get("title", ""))
        based_on = self._value((), "based_on", self._document.get("based_on"))
        self._check_twice()
        self._check_withdrawn_references()
        if not self._entries and not self._faults:
            self._add((), "it changes nothing", "add, change or withdraw")
        if self._faults:
            raise InvalidNote(tuple(self._faults))
        return Note(title, based_on, tuple(self._entries))

    def _read_table(self, verb: Verb) -> None:
        table = self._document.get(verb.value, {})
        path: Path = (verb.value,)
        if not isinstance(table, dict):
            self._add(path, "it is no table", f"write [{verb.value}]")
            return
        self._check_fields(
            table, path, tuple(changes_lib.SECTIONS), "no such section"
        )
        for section in changes_lib.SECTIONS:
            items = table.get(section, [])
            if not isinstance(items, list):
                fix = f"write [[{verb.value}.{section}]]"
                if verb is Verb.WITHDRAWN:
                    fix = "write a list of names"
                self._add((*path, section), "it is no list", fix)
                continue
            for index, item in enumerate(items):
                self._read_item(verb, section, (*path, section, index), item)

    def _read_item(
        self, verb: Verb, section: str, path: Path, item: Any
    ) -> None:
        field = changes_lib.name_field(section)
        if verb is Verb.WITHDRAWN:
            item = {field: item}
        elif not isinstance(item, dict):
            self._add(path, "it is no table", f"write [[{verb}.{section}]]")
            return
        known = _fields(section)
        self._check_fields(item, path, tuple(known), "no such field")
        values: dict[str, Any] = {}
        for name in known:
            if name in item:
                where = path if verb is Verb.WITHDRAWN else (*path, name)
                value = self._field(section, name, where, item[name])
                if value is not None:
                    values[name] = value
        needed = {field} if verb is not Verb.ADDED else _required(section)
        for name in sorted(needed - item.keys()):
            self._add(path, f"{name!r} is missing", f"add {name} = ...")
        if verb is Verb.CHANGED and set(item) == {field}:
            self._add(path, "it changes nothing", "give the new values")
        if field in values:
            name = values[field]
            self._entries.append(Entry(verb, section, name, path, values))

    def _field(self, section: str, name: str, path: Path, value: Any) -> Any:
        try:
            return _adapter(section, name).validate_json(
                json.dumps(value, default=str), strict=True
            )
        except pydantic.ValidationError as exc:
            message = exc.errors(include_url=False, include_input=False)[0]
            # Somebody may have written the key in place of its digest, so
            # nothing of this section is ever repeated.
            if section == "keys":
                self._add(path, f"the {name} is wrong", KEY_FIX)
            else:
                self._add(path, f"{value!r} is wrong", message["msg"])
            return None

    def _value(self, path: Path, name: str, value: Any) -> Any:
        """Returns a field of the top level if it has the right type."""
        match name:
            case "title":
                good = isinstance(value, str) and len(value) <= MAX_TITLE
                fix = f"write a string of at most {MAX_TITLE} characters"
            case _:
                number = isinstance(value, int) and not isinstance(value, bool)
                good = value is None or (number and value >= 0)
                fix = "write the number of a revision"
        if not good:
            self._add((*path, name), f"{value!r} is wrong", fix)
        return value

    def _check_fields(
        self,
        table: Mapping[str, Any],
        path: Path,
        known: tuple[str, ...],
        problem: str,
    ) -> None:
        for name in table:
            if name not in known:
                fix = "use one of " + ", ".join(known)
                self._add((*path, name), f"{problem}: {name!r}", fix)

    def _check_twice(self) -> None:
        seen: dict[tuple[str, str], Path] = {}
        for entry in self._entries:
            key = (entry.section, entry.name)
            if key in seen:
                first = Fault(seen[key], "", "")
                self._add(
                    entry.path,
                    f"{entry.name!r} stands at {str(first)[:-4]}, too",
                    "name each object once in a note",
                )
            seen.setdefault(key, entry.path)

    def _check_withdrawn_references(self) -> None:
        """Finds objects that refer to what the same note withdraws."""
        gone = {
            (entry.section, entry.name)
            for entry in self._entries
            if entry.verb is Verb.WITHDRAWN
        }
        for entry in self._entries:
            for field, section in REFERENCES.get(entry.section, {}).items():
                name = entry.fields.get(field)
                if entry.verb is not Verb.WITHDRAWN and (section, name) in gone:
                    self._add(
                        (*entry.path, field),
                        f"the note withdraws {name!r}",
                        f"name one of the {section} that stay",
                    )

    def _add(self, path: Path, problem: str, fix: str) -> None:
        self._faults.append(Fault(path, problem, fix))


REFERENCES: Mapping[str, Mapping[str, str]] = {
    "keys": {"account": "accounts"},
    "targets": {"pool": "pools"},
    "models": {"pool": "pools"},
    "routes": {"pool": "pools"},
    "templates": {"model": "models"},
}


@functools.cache
def _fields(section: str) -> Mapping[str, Any]:
    kind = changes_lib.SECTIONS[section]
    return typing.get_type_hints(kind, include_extras=True)


@functools.cache
def _required(section: str) -> frozenset[str]:
    return frozenset(
        field.name
        for field in dataclasses.fields(changes_lib.SECTIONS[section])
        if field.default is dataclasses.MISSING
    )


@functools.cache
def _adapter(section: str, name: str) -> pydantic.TypeAdapter[Any]:
    return pydantic.TypeAdapter(_fields(section)[name])
