"""When an answer is overdue."""

from buckthornshift.dispatch._adaptive_timeout import AdaptiveTimeout


def test_the_first_wait_is_the_longest():
    assert AdaptiveTimeout(max_ms=250.0).get_timeout_ms() == 250.0


def test_quick_answers_make_the_wait_short_but_not_shorter_than_a_pause():
    start_timeout = AdaptiveTimeout(min_ms=60.0)
    for _ in range(50):
        start_timeout.add_sample(2.0)
    assert start_timeout.get_timeout_ms() == 60.0


def test_slow_answers_make_it_long_again():
    start_timeout = AdaptiveTimeout(min_ms=60.0, max_ms=250.0)
    for _ in range(50):
        start_timeout.add_sample(2.0)
    for _ in range(10):
        start_timeout.add_sample(90.0)
    assert 90.0 < start_timeout.get_timeout_ms() <= 250.0
