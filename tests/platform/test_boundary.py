"""Tests that the platform's names stay in its adapter, which stays small."""

import pathlib
import re

from testtools.assertions import assert_that
from testtools import matchers

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Header names and paths of the platform, and fields that only it uses. The
# packages have their own headers with the same prefix.
PLATFORM_NAMES = re.compile(
    r'/cassiashift/|Cassiashift-(Request|Deadline|Prefix|Response|Tenant|'
    r'Expect|Not|Instance|Model|Token|Weight|Length)|expertMap|apiKeys|'
    r'pathPrefix|ttlS|trafficSplit|targetLatencyMs|heartbeatUrl|gracePeriodS'
)


def _sources(folder):
    return sorted((ROOT / folder).rglob('*.py'))


def _lines(paths):
    return sum(len(path.read_text().splitlines()) for path in paths)


def test_the_packages_contain_no_names_of_the_platform():
    violations = [
        str(path.relative_to(ROOT))
        for path in _sources('packages')
        if PLATFORM_NAMES.search(path.read_text())
    ]
    assert_that(violations, matchers.Equals([]))


def test_the_adapter_is_under_a_tenth_of_the_packages():
    adapter = _lines(_sources('platform'))
    packages = _lines(_sources('packages'))
    assert_that(10 * adapter < packages, matchers.Is(True))


def test_the_packages_do_not_import_the_adapter():
    violations = [
        str(path.relative_to(ROOT))
        for path in _sources('packages')
        if 'cassiashift_platform' in path.read_text()
    ]
    assert_that(violations, matchers.Equals([]))
