"""Fencing tokens, checked by agents on behalf of their upstreams."""

from cassiashift_core.fencing.fence import build_reply
from cassiashift_core.fencing.fence import Fence
from cassiashift_core.fencing.fence import FenceConfig
from cassiashift_core.fencing.fence import Received
from cassiashift_core.fencing.fence import Send
from cassiashift_core.fencing.fence import Tick
from cassiashift_core.fencing.fence import UpstreamAdded
from cassiashift_core.fencing.messages import FenceQuery
from cassiashift_core.fencing.messages import FenceReply
from cassiashift_core.fencing.tokens import Token

__all__ = [
    'Fence',
    'FenceConfig',
    'FenceQuery',
    'FenceReply',
    'Received',
    'Send',
    'Tick',
    'Token',
    'UpstreamAdded',
    'build_reply',
]
