"""The time line as one self-contained HTML page.

Rows are events in causal order, lanes are processes, arrows join a send
with its receipts.
"""

from collections.abc import Sequence
import html

from cassiashift_core import timeline
from cassiashift_core.timeline import rendering

MAX_EVENTS = 2000
TIME_WIDTH = 190
LANE_WIDTH = 200
ROW_HEIGHT = 24
HEADER_HEIGHT = 56
MARKER_RADIUS = 5
MAX_LABEL_CHARS = 26
PALETTE = (
    '#1f5fa8',
    '#a84b1f',
    '#2f7d4f',
    '#7a3f9c',
    '#8a6d00',
    '#b02a5b',
    '#00757f',
    '#5a5a5a',
)

STYLE = """
body { font: 14px/1.4 system-ui, sans-serif; margin: 0; color: #1c2430; }
header { padding: 12px 20px; border-bottom: 1px solid #d5dae1; }
h1 { font-size: 18px; margin: 0 0 4px; }
p { margin: 0; color: #55606e; }
.scroll { overflow: auto; max-height: calc(100vh - 80px); }
svg { display: block; background: #fff; }
text { font: 12px ui-monospace, monospace; fill: #1c2430; }
.time { fill: #55606e; }
.lane { font-weight: 600; }
.axis { stroke: #d5dae1; }
.stripe { fill: #f5f7fa; }
.arrow { stroke: #55606e; stroke-width: 1.2; stroke-opacity: 0.6; }
.event:hover .stripe { fill: #e4ecf7; }
"""


def page(
    merged: Sequence[timeline.Event], title: str, dropped: int = 0
) -> str:
    """Return the page as text.

    Args:
        merged: events in causal order, as ``timeline.merge`` returns them.
        title: heading of the page.
        dropped: events that the processes no longer held.
    """
    shown = list(merged[:MAX_EVENTS])
    lanes = _lanes(shown)
    body = '\n'.join(
        [
            *_stripes_and_labels(shown, lanes),
            *_arrows(shown, lanes),
        ]
    )
    width = TIME_WIDTH + LANE_WIDTH * max(1, len(lanes)) + 20
    height = HEADER_HEIGHT + ROW_HEIGHT * (len(shown) + 1)
    heading = html.escape(title)
    return f"""<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>{heading}</title>
<style>{STYLE}</style>
</head>
<body>
<header>
<h1>{heading}</h1>
<p>{_summary(merged, shown, lanes, dropped)}</p>
</header>
<div class="scroll">
<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}">
<defs><marker id="head" viewBox="0 0 8 8" refX="8" refY="4"
 markerWidth="7" markerHeight="7" orient="auto">
<path d="M0 0 L8 4 L0 8 Z" fill="#55606e"/></marker></defs>
{_axes(lanes, height)}
{body}
</svg>
</div>
</body>
</html>
"""


def _lanes(shown: Sequence[timeline.Event]) -> dict[str, int]:
    lanes: dict[str, int] = {}
    for event in shown:
        lanes.setdefault(event.process, len(lanes))
    return lanes


def _lane_x(lane: int) -> int:
    return TIME_WIDTH + LANE_WIDTH * lane + 16


def _row_y(row: int) -> int:
    return HEADER_HEIGHT + ROW_HEIGHT * row + ROW_HEIGHT // 2


def _color(lane: int) -> str:
    return PALETTE[lane % len(PALETTE)]


def _summary(
    merged: Sequence[timeline.Event],
    shown: Sequence[timeline.Event],
    lanes: dict[str, int],
    dropped: int,
) -> str:
    parts = [f'{len(shown)} events of {len(lanes)} processes, UTC']
    if len(merged) > len(shown):
        parts.append(f'{len(merged) - len(shown)} later events left out')
    if dropped:
        parts.append(f'{dropped} events dropped by the processes')
    return html.escape('; '.join(parts))


def _axes(lanes: dict[str, int], height: int) -> str:
    parts = []
    for process, lane in lanes.items():
        x = _lane_x(lane)
        name = html.escape(_shortened(process))
        parts.append(
            f'<line class="axis" x1="{x}" y1="{HEADER_HEIGHT - 12}" '
            f'x2="{x}" y2="{height}"/>'
        )
        parts.append(
            f'<text class="lane" x="{x - MARKER_RADIUS}" y="30" '
            f'style="fill:{_color(lane)}">{name}'
            f'<title>{html.escape(process)}</title></text>'
        )
    return '\n'.join(parts)


def _stripes_and_labels(
    shown: Sequence[timeline.Event], lanes: dict[str, int]
) -> list[str]:
    width = TIME_WIDTH + LANE_WIDTH * len(lanes) + 20
    parts = []
    for row, event in enumerate(shown):
        lane = lanes[event.process]
        y = _row_y(row)
        tip = html.escape(
            f'{event.clock} {event.process} {event.kind} '
            f'{event.request} {rendering.facts(event)}'
        )
        fill = '' if row % 2 else ' style="fill:#fff"'
        label = html.escape(_shortened(_label(event)))
        parts.append(
            f'<g class="event"><title>{tip}</title>'
            f'<rect class="stripe"{fill} x="0" y="{y - ROW_HEIGHT // 2}" '
            f'width="{width}" height="{ROW_HEIGHT}" fill-opacity="0.6"/>'
            f'<text class="time" x="12" y="{y + 4}">'
            f'{rendering.wall_time(event)}</text>'
            f'<circle cx="{_lane_x(lane)}" cy="{y}" r="{MARKER_RADIUS}" '
            f'fill="{_color(lane)}"/>'
            f'<text x="{_lane_x(lane) + 10}" y="{y + 4}">{label}</text></g>'
        )
    return parts


def _label(event: timeline.Event) -> str:
    detail = event.request or event.group or rendering.facts(event)
    return f'{event.kind} {detail}'.strip()


def _shortened(text: str) -> str:
    if len(text) <= MAX_LABEL_CHARS:
        return text
    return text[: MAX_LABEL_CHARS - 1] + '…'


def _arrows(
    shown: Sequence[timeline.Event], lanes: dict[str, int]
) -> list[str]:
    sends = {
        event.message: (row, event)
        for row, event in enumerate(shown)
        if event.kind == timeline.SEND and event.message
    }
    parts = []
    for row, event in enumerate(shown):
        if event.kind != timeline.RECEIVE or event.message not in sends:
            continue
        start_row, start = sends[event.message]
        if start.process == event.process:
            continue
        parts.append(
            _arrow(start_row, lanes[start.process], row, event, lanes)
        )
    return parts


def _arrow(
    start_row: int,
    start_lane: int,
    row: int,
    event: timeline.Event,
    lanes: dict[str, int],
) -> str:
    lane = lanes[event.process]
    side = 1 if lane > start_lane else -1
    x1, y1 = _lane_x(start_lane), _row_y(start_row)
    x2 = _lane_x(lane) - side * (MARKER_RADIUS + 1)
    name = html.escape(event.message)
    return (
        f'<line class="arrow" marker-end="url(#head)" '
        f'x1="{x1}" y1="{y1}" x2="{x2}" y2="{_row_y(row)}">'
        f'<title>{name}</title></line>'
    )
