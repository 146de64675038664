"""Writes entries until it is killed; prints each acknowledged index."""

import itertools
import sys

from cassiashift_core import consensus
from cassiashift_daemon import storage


def main():
    """Persist entries one by one, and a snapshot after every 40th index."""
    opened = storage.Storage.open(sys.argv[1], 'dep', 'a', segment_bytes=2000)
    saved = opened.load()
    first = saved.entries[-1].index if saved.entries else 0
    if saved.snapshot is not None:
        first = max(first, saved.snapshot.index)
    for index in itertools.count(first + 1):
        entry = consensus.Entry(index, 1, data=b'x' * 50)
        opened.persist([consensus.Persist(index, entries=(entry,))])
        print(index, flush=True)
        if index % 40 == 0:
            voters = consensus.VoterSet()
            snapshot = consensus.Snapshot(index - 5, 1, voters)
            opened.persist([consensus.Persist(index, snapshot=snapshot)])


if __name__ == '__main__':
    main()
