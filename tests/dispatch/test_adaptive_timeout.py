"""Tests of the timeout that adapts to response times."""

from buckthornshift.dispatch._adaptive_timeout import AdaptiveTimeout


def test_timeout_is_maximal_without_samples():
    assert AdaptiveTimeout(max_ms=250.0).get_timeout_ms() == 250.0


def test_fast_responses_reduce_the_timeout_to_its_minimum():
    timeout = AdaptiveTimeout(min_ms=60.0)
    for _ in range(50):
        timeout.add_sample(2.0)
    assert timeout.get_timeout_ms() == 60.0


def test_slow_responses_increase_the_timeout_again():
    timeout = AdaptiveTimeout(min_ms=60.0, max_ms=250.0)
    for _ in range(50):
        timeout.add_sample(2.0)
    for _ in range(10):
        timeout.add_sample(90.0)
    assert 90.0 < timeout.get_timeout_ms() <= 250.0
