"""The coordinator's machine freezes after all ranks were armed."""

import asyncio
import os
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'support'))

import deployment  # noqa: E402
import group as groups  # noqa: E402

# With TROUBLE=0 the disruption is left out.
HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
RECORD = FOLDER / 'record.txt'
SIZE = 8
SWITCHES_BEFORE = 3
LATE_S = 6.0
MOST_LATE_DISARMS = 12
# Longest freeze, and the end of the case.
FREEZE_S = 4.0
ENDS_AT_S = 75.0
AFTER_S = 8.0


class Trouble:
    """Freezes the coordinator once, and leaves some orders unanswered."""

    def __init__(self, site, group):
        """Watch the orders of a group."""
        self.site, self.group = site, group
        self.agent = site.sides[0]
        self.frozen_at = None
        self.thawed_at = None
        self.disarmed = set()
        self.late_disarms = 0
        group.on_order = self.on_order
        group.after_order = self.after_order

    def on_order(self, rank, order):
        """Return the lateness of an order that gets no answer, or None."""
        if self.frozen_at is None:
            if self._is_release(order):
                self.frozen_at = self.site.record.now
                self.agent.send(signal.SIGSTOP)
                return LATE_S
            return None
        if (
            rank.number == 0
            and order['op'] == 'disarm'
            and self.late_disarms < MOST_LATE_DISARMS
        ):
            self.late_disarms += 1
            return LATE_S
        return None

    def _is_release(self, order):
        """Return whether an order releases a pass at which all switch."""
        ranks = self.group.ranks
        wanted = ranks[0].armed
        return (
            order['op'] == 'go'
            and len(set(self.group.switched)) >= SWITCHES_BEFORE
            and wanted is not None
            and all(rank.armed == wanted for rank in ranks)
        )

    def after_order(self, rank, order, status):
        """Wake the coordinator once another one has disarmed the others."""
        if self.frozen_at is not None and order['op'] == 'disarm':
            self.disarmed.add(rank.number)
            if len(self.disarmed) == SIZE - 1:
                self.thaw()

    def thaw(self):
        """Let the coordinator run again."""
        if self.thawed_at is None:
            self.thawed_at = self.site.record.now
            self.agent.send(signal.SIGCONT)


async def play(site):
    """Return whether all passes began on one map."""
    record = site.record
    group = groups.Group(site, SIZE, load=groups.SLOTS - 1)
    await group.start()
    site.start()
    if not await site.put_until_acknowledged(groups.document(3), 20.0):
        raise deployment.CannotRunError('no configuration was accepted')
    trouble = None
    if HAS_TROUBLE:
        trouble = Trouble(site, group)
    while record.now < ENDS_AT_S and not group.mixed:
        await asyncio.sleep(0.02)
        if trouble is None:
            if len(set(group.switched)) >= 2 * SWITCHES_BEFORE:
                break
            continue
        if trouble.frozen_at is None:
            continue
        if record.now - trouble.frozen_at > FREEZE_S:
            trouble.thaw()
        if trouble.thawed_at and record.now - trouble.thawed_at > AFTER_S:
            break
    record.write(
        f'versions in use {sorted(set(group.switched))}, '
        f'orders {group.orders}, left unanswered {group.late_orders}'
    )
    if trouble is not None and trouble.thawed_at is not None:
        frozen_s = trouble.thawed_at - trouble.frozen_at
        record.write(f'frozen for {frozen_s:.2f} s')
    if trouble is not None and trouble.frozen_at is None:
        raise deployment.CannotRunError('no switch to disturb')
    return not group.mixed


if __name__ == '__main__':
    deployment.run(play, RECORD, plain=0, sides=SIZE, app_service='pisar')
