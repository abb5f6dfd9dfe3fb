"""When an answer is overdue."""

from buckthornshift.dispatch._patience import AnswerPatience


def test_the_first_wait_is_the_longest():
    assert AnswerPatience(most_ms=250.0).get_ms() == 250.0


def test_quick_answers_make_the_wait_short_but_not_shorter_than_a_pause():
    patience = AnswerPatience(least_ms=60.0)
    for _ in range(50):
        patience.note(2.0)
    assert patience.get_ms() == 60.0


def test_slow_answers_make_it_long_again():
    patience = AnswerPatience(least_ms=60.0, most_ms=250.0)
    for _ in range(50):
        patience.note(2.0)
    for _ in range(10):
        patience.note(90.0)
    assert 90.0 < patience.get_ms() <= 250.0
