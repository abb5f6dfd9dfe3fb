"""When an answer is overdue."""

from buckthornshift.dispatch._adaptive_timeout import AdaptiveTimeout


def test_the_first_wait_is_the_longest():
    assert AdaptiveTimeout(max_ms=250.0).get_timeout_ms() == 250.0


def test_quick_answers_make_the_wait_short_but_not_shorter_than_a_pause():
    patience = AdaptiveTimeout(min_ms=60.0)
    for _ in range(50):
        patience.note(2.0)
    assert patience.get_timeout_ms() == 60.0


def test_slow_answers_make_it_long_again():
    patience = AdaptiveTimeout(min_ms=60.0, max_ms=250.0)
    for _ in range(50):
        patience.note(2.0)
    for _ in range(10):
        patience.note(90.0)
    assert 90.0 < patience.get_timeout_ms() <= 250.0
