"""Tests of the check of the heads of answers."""

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_net import answer_heads
from tests.net import malformed_heads


def _check(data, size):
    """Check bytes that arrive in pieces of a size."""
    head = answer_heads.HeadCheck()
    for start in range(0, len(data), size):
        head.feed(data[start : start + size])
    return head


@pytest.mark.parametrize('size', [1, 2, 7, 4096])
def test_heads_are_checked_however_they_are_received(size):
    for name in malformed_heads.HEADS:
        with pytest.raises(answer_heads.MalformedHeadError):
            _check(malformed_heads.answer(name, b'done'), size)
    for name in malformed_heads.WELL_FORMED:
        head = _check(malformed_heads.answer(name, b'done'), size)
        assert_that(head.is_over, matchers.Is(True))


def test_bytes_after_the_head_are_no_part_of_it():
    answer = malformed_heads.answer('plain', b'\n : \x01\r\n\r\nX : a\r\n')
    for size in (1, 4096):
        assert_that(_check(answer, size).is_over, matchers.Is(True))
