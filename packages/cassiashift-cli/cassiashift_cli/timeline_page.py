"""Renders the time line as one self-contained HTML page.

Rows are events in causal order, lanes are processes, and arrows connect a
sent message with its receipts.
"""

from collections.abc import Sequence
import html

from cassiashift_core import timeline
from cassiashift_core.timeline import rendering

MAX_EVENTS = 2000
TIME_COLUMN_WIDTH_PX = 190
LANE_WIDTH_PX = 200
ROW_HEIGHT_PX = 24
HEADER_HEIGHT_PX = 40
MARKER_RADIUS_PX = 5
MAX_LABEL_CHARACTERS = 26
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
.lanes { position: sticky; top: 0; border-bottom: 1px solid #d5dae1; }
text { font: 12px ui-monospace, monospace; fill: #1c2430; }
.time { fill: #55606e; }
.lane { font-weight: 600; }
.axis { stroke: #d5dae1; }
.stripe { fill: #f5f7fa; }
.arrow { stroke: #55606e; stroke-width: 1.2; stroke-opacity: 0.6; }
.event:hover text { text-decoration: underline; }
"""


def render(
    merged: Sequence[timeline.Event], title: str, dropped: int = 0
) -> str:
    """Return the HTML of the page.

    Args:
        merged: events in causal order, as ``timeline.merge`` returns them.
        title: heading of the page.
        dropped: number of events that the processes had discarded.
    """
    shown = list(merged[:MAX_EVENTS])
    lanes = _lanes(shown)
    width = TIME_COLUMN_WIDTH_PX + LANE_WIDTH_PX * max(1, len(lanes)) + 20
    height = ROW_HEIGHT_PX * (len(shown) + 1)
    body = '\n'.join(
        [
            *_stripes(shown, width),
            _axes(lanes, height),
            *_arrows(shown, lanes),
            *_event_markers(shown, lanes),
        ]
    )
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
<svg xmlns="http://www.w3.org/2000/svg" class="lanes"
 width="{width}" height="{HEADER_HEIGHT_PX}">
{_lane_names(lanes)}
</svg>
<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}">
<defs><marker id="head" viewBox="0 0 8 8" refX="8" refY="4"
 markerWidth="7" markerHeight="7" orient="auto">
<path d="M0 0 L8 4 L0 8 Z" fill="#55606e"/></marker></defs>
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
    return TIME_COLUMN_WIDTH_PX + LANE_WIDTH_PX * lane + 16


def _row_y(row: int) -> int:
    return ROW_HEIGHT_PX * row + ROW_HEIGHT_PX // 2


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


def _lane_names(lanes: dict[str, int]) -> str:
    baseline = HEADER_HEIGHT_PX - 14
    return '\n'.join(
        f'<text class="lane" x="{_lane_x(lane) - MARKER_RADIUS_PX}" '
        f'y="{baseline}" style="fill:{_color(lane)}">'
        f'{html.escape(_shorten(process))}'
        f'<title>{html.escape(process)}</title></text>'
        for process, lane in lanes.items()
    )


def _axes(lanes: dict[str, int], height: int) -> str:
    return '\n'.join(
        f'<line class="axis" x1="{_lane_x(lane)}" y1="0" '
        f'x2="{_lane_x(lane)}" y2="{height}"/>'
        for lane in lanes.values()
    )


def _stripes(shown: Sequence[timeline.Event], width: int) -> list[str]:
    return [
        f'<rect class="stripe" x="0" y="{ROW_HEIGHT_PX * row}" '
        f'width="{width}" height="{ROW_HEIGHT_PX}"/>'
        for row in range(1, len(shown), 2)
    ]


def _event_markers(
    shown: Sequence[timeline.Event], lanes: dict[str, int]
) -> list[str]:
    parts = []
    for row, event in enumerate(shown):
        lane = lanes[event.process]
        y = _row_y(row)
        tooltip = html.escape(
            f'{event.clock} {event.process} {event.kind} '
            f'{event.request} {rendering.format_details(event)}'
        )
        label = html.escape(_shorten(_label(event)))
        parts.append(
            f'<g class="event"><title>{tooltip}</title>'
            f'<text class="time" x="12" y="{y + 4}">'
            f'{rendering.format_time_of_day(event)}</text>'
            f'<circle cx="{_lane_x(lane)}" cy="{y}" r="{MARKER_RADIUS_PX}" '
            f'fill="{_color(lane)}"/>'
            f'<text x="{_lane_x(lane) + 10}" y="{y + 4}">{label}</text></g>'
        )
    return parts


def _label(event: timeline.Event) -> str:
    detail = event.request or event.group or rendering.format_details(event)
    return f'{event.kind} {detail}'.strip()


def _shorten(text: str) -> str:
    if len(text) <= MAX_LABEL_CHARACTERS:
        return text
    return text[: MAX_LABEL_CHARACTERS - 1] + '…'


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
    direction = 1 if lane > start_lane else -1
    x1, y1 = _lane_x(start_lane), _row_y(start_row)
    x2 = _lane_x(lane) - direction * (MARKER_RADIUS_PX + 1)
    name = html.escape(event.message)
    return (
        f'<line class="arrow" marker-end="url(#head)" '
        f'x1="{x1}" y1="{y1}" x2="{x2}" y2="{_row_y(row)}">'
        f'<title>{name}</title></line>'
    )
