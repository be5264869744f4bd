"""A map that forgets what was put longest ago."""

from endivepier.internal import bounded_map


def test_what_was_put_longest_ago_is_dropped_first():
    found = bounded_map.BoundedMap(2)
    found.put("a", 1)
    found.put("b", 2)
    found.put("a", 3)
    found.put("c", 4)
    assert ("a" in found, "b" in found, "c" in found) == (True, False, True)
    assert found.get("a") == 3
    assert len(found) == 2


def test_a_look_at_an_entry_does_not_keep_it():
    found = bounded_map.BoundedMap(2)
    found.put("a", 1)
    found.put("b", 2)
    assert found.get("a") == 1
    found.put("c", 3)
    assert found.get("a") is None


def test_an_entry_can_be_dropped_twice():
    found = bounded_map.BoundedMap(2)
    found.put("a", 1)
    found.drop("a")
    found.drop("a")
    assert len(found) == 0
