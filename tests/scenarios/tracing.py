"""Records the timeline of a scenario on the simulated network."""

import attrs

from cassiashift_core import timeline

EPOCH_US = 1_700_000_000_000_000
EVENTS_PER_HOST = 256
SHOWN_EVENTS = 80


@attrs.define
class Tracer:
    """Records sends, receipts and effects with hybrid logical clocks."""

    net: object
    recorders: dict[str, timeline.Recorder] = attrs.field(factory=dict)
    _stamps: dict[int, timeline.Timestamp] = attrs.field(factory=dict)

    def record_send(self, host, receiver, number, name):
        """Record a send and keep its clock for the receipt."""
        event = self._record(
            host,
            timeline.SEND,
            message=str(number),
            fields={'type': name, 'to': receiver},
        )
        self._stamps[number] = event.clock
        while len(self._stamps) > EVENTS_PER_HOST * 64:
            del self._stamps[next(iter(self._stamps))]

    def record_receipt(self, host, number, name):
        """Record a receipt, ordered after its send."""
        self._record(
            host,
            timeline.RECEIVE,
            remote=self._stamps.get(number),
            message=str(number),
            fields={'type': name},
        )

    def record_effect(self, host, effect):
        """Record an effect with the member or revision that it concerns."""
        member = getattr(effect, 'member', None)
        fields = {} if member is None else {'member': member.host}
        self._record(
            host,
            type(effect).__name__,
            revision=getattr(effect, 'revision', 0),
            fields=fields,
        )

    def text(self):
        """Return the last ``SHOWN_EVENTS`` events of all hosts as text."""
        merged = timeline.merge(
            recorder.events() for recorder in self.recorders.values()
        )
        return timeline.as_text(merged[-SHOWN_EVENTS:])

    def _record(self, host, kind, **columns):
        if host not in self.recorders:
            self.recorders[host] = timeline.Recorder(
                host, 'process', capacity=EVENTS_PER_HOST
            )
        wall_us = EPOCH_US + int(self.net.now * 1_000_000)
        return self.recorders[host].record(kind, wall_us, **columns)
