from endivepier.internal import bounded_map


def test_evicts_the_entry_whose_last_put_is_the_oldest():
    cache = bounded_map.BoundedMap(2)
    cache.put("a", 1)
    cache.put("b", 2)
    cache.put("a", 3)
    cache.put("c", 4)
    assert ("a" in cache, "b" in cache, "c" in cache) == (True, False, True)
    assert cache.get("a") == 3
    assert len(cache) == 2


def test_reading_an_entry_does_not_delay_its_eviction():
    cache = bounded_map.BoundedMap(2)
    cache.put("a", 1)
    cache.put("b", 2)
    assert cache.get("a") == 1
    cache.put("c", 3)
    assert cache.get("a") is None


def test_dropping_a_missing_entry_does_nothing():
    cache = bounded_map.BoundedMap(2)
    cache.put("a", 1)
    cache.drop("a")
    cache.drop("a")
    assert len(cache) == 0
