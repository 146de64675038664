"""Tests of classes that a codec registers with their first use."""

import json
import subprocess
import sys
import types

import attrs
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import codec

MODULE = 'cassiashift_test_messages'


@attrs.frozen
class Note:
    """A message of the module below."""

    text: str


@pytest.fixture
def deferred(monkeypatch):
    """Return a codec that knows only the name of a module of messages."""
    module = types.ModuleType(MODULE)
    module.CLASSES = (Note,)
    monkeypatch.setitem(sys.modules, MODULE, module)
    created = codec.Codec()
    created.register_later(
        'note', MODULE, lambda module: {'note.Note': module.CLASSES[0]}
    )
    return created


def test_a_class_is_registered_when_it_is_sent_first(deferred):
    data = deferred.encode(Note('a'))
    assert_that(deferred.decode(data), matchers.Equals(Note('a')))


def test_a_class_is_registered_when_its_tag_is_received_first(deferred):
    """A process would drop the first message of a kind it never sent."""
    sender = codec.Codec()
    sender.register('note.Note', Note)
    data = sender.encode(Note('b'))
    assert_that(deferred.decode(data), matchers.Equals(Note('b')))


def test_an_unknown_tag_below_a_known_prefix_is_refused(deferred):
    for _ in range(2):
        with pytest.raises(codec.DecodeError):
            deferred.decode_frames(b'note.Other', b'')


def test_tags_include_those_of_modules_not_used_yet(deferred):
    assert_that(deferred.tags(), matchers.Equals(['note.Note']))


def test_a_prefix_is_registered_once(deferred):
    with pytest.raises(ValueError):
        deferred.register_later('note', MODULE, lambda module: {})


def test_the_codec_of_links_loads_no_messages_before_their_use():
    """Each start would load the messages of all other kinds of processes."""
    code = (
        'import json, sys\n'
        'from cassiashift_net import wire\n'
        'before = "cassiashift_core.membership" in sys.modules\n'
        'wire.CODEC._find_decoder("member.Ping")\n'
        'after = "cassiashift_core.membership" in sys.modules\n'
        'print(json.dumps([before, after]))\n'
    )
    done = subprocess.run(
        [sys.executable, '-c', code],
        stdout=subprocess.PIPE,
        text=True,
        check=True,
    )
    assert_that(json.loads(done.stdout), matchers.Equals([False, True]))
