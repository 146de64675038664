"""Tests of links between the pages and of the table of error codes."""

import pathlib
import re

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import ErrorCode
from cassiashift_net import problems

ROOT = pathlib.Path(__file__).parents[2]
PAGES = sorted(
    path
    for path in [ROOT / 'README.md', *(ROOT / 'docs').rglob('*.md')]
    if 'design' not in path.parts
)
_LINK = re.compile(r'\]\(([^)#:]+)\)')


@pytest.mark.parametrize('page', PAGES, ids=lambda path: path.name)
def test_every_link_between_pages_has_a_target(page):
    links = _LINK.findall(page.read_text(encoding='utf-8'))
    broken = [link for link in links if not (page.parent / link).exists()]
    assert_that(broken, matchers.HasLength(0))


def test_error_page_lists_every_code_with_its_status():
    path = ROOT / 'docs' / 'OPERATIONS' / 'errors.md'
    rows = re.findall(
        r'^\| `(\w+)` \| (\d+) \|', path.read_text(encoding='utf-8'), re.M
    )
    expected = {
        code.value: str(problems.STATUS_OF_CODE[code]) for code in ErrorCode
    }
    assert_that(dict(rows), matchers.Equals(expected))
