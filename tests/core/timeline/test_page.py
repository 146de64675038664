"""Tests of the HTML page that draws a time line."""

import html.parser
import re
from xml.etree import ElementTree

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_cli import timeline_page
from cassiashift_core import timeline

START_US = 1_700_000_000_000_000
GLYPH_WIDTH_PX = 7.25
SVG = '{http://www.w3.org/2000/svg}'


@pytest.fixture
def merged():
    entry = timeline.Recorder('<h1>', 'entry')
    agent = timeline.Recorder('h2', 'agent')
    for step in range(4):
        name = f'm{step}'
        sent = entry.record(
            'send', START_US + 9 * step, request='"r"', message=name
        )
        agent.record('receive', START_US, remote=sent.clock, message=name)
    return timeline.merge([entry.events(), agent.events()])


def parse_svg(text):
    """Return the SVG part of a page as an XML tree."""
    svg = re.search('<svg.*</svg>', text, re.S)[0]
    return ElementTree.fromstring(f'<div>{svg}</div>')


def test_page_is_well_formed_and_loads_no_external_resource(merged):
    text = timeline_page.render(merged, 'a <b> title')
    html.parser.HTMLParser().feed(text)
    parse_svg(text)
    without_namespace = text.replace('xmlns="http://www.w3.org/2000/svg"', '')
    for external in ('http', 'src=', 'href', '@import', '<script'):
        found = external in without_namespace
        assert_that(found, matchers.Equals(False), external)
    assert_that(text, matchers.Contains('a &lt;b&gt; title'))
    assert_that('<h1>/entry' in text, matchers.Equals(False))


def test_arrows_point_down_from_each_send_to_its_receipt(merged):
    tree = parse_svg(timeline_page.render(merged, 'title'))
    arrows = [
        line
        for line in tree.iter(f'{SVG}line')
        if line.get('class') == 'arrow'
    ]
    assert_that(arrows, matchers.HasLength(4))
    for arrow in arrows:
        rise = int(arrow.get('y2')) - int(arrow.get('y1'))
        assert_that(rise, matchers.GreaterThan(0))


def test_each_event_has_a_row_in_the_lane_of_its_process(merged):
    tree = parse_svg(timeline_page.render(merged, 'title'))
    marks = list(tree.iter(f'{SVG}circle'))
    assert_that(marks, matchers.HasLength(8))
    assert_that({mark.get('cx') for mark in marks}, matchers.HasLength(2))
    assert_that({mark.get('cy') for mark in marks}, matchers.HasLength(8))


def test_lane_names_are_sticky_and_labels_fit_their_lane(merged):
    text = timeline_page.render(merged, 'title')
    names = parse_svg(text).find(f'{SVG}svg[@class="lanes"]')
    assert_that(list(names.iter(f'{SVG}text')), matchers.HasLength(2))
    assert_that(text, matchers.Contains('position: sticky'))
    widest = timeline_page.MAX_LABEL_CHARACTERS * GLYPH_WIDTH_PX + 10
    assert_that(timeline_page.LANE_WIDTH_PX, matchers.GreaterThan(widest))


def test_page_limits_events_and_states_how_many_are_missing(
    monkeypatch, merged
):
    monkeypatch.setattr(timeline_page, 'MAX_EVENTS', 3)
    text = timeline_page.render(merged, 'title', dropped=12)
    assert_that(text, matchers.Contains('5 later events left out'))
    assert_that(text, matchers.Contains('12 events dropped'))
    assert_that(
        list(parse_svg(text).iter(f'{SVG}circle')), matchers.HasLength(3)
    )
