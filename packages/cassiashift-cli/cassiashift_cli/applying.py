"""Applies a manifest and waits until it is in force everywhere."""

import asyncio
import time

import attrs
import msgspec

from cassiashift_cli import client
from cassiashift_core import CassiashiftError
from cassiashift_net import administration

POLL_INTERVAL_S = 0.2


@attrs.frozen
class Applied:
    """What became of an accepted manifest.

    Attributes:
        in_force_after_s: seconds from the send until every host that an
            entry hears of had the revision; None when time ran out.
        behind: hosts that are known not to have it yet.
        silent: entries that could not be asked.
    """

    request_id: str
    revision: int
    in_force_after_s: float | None
    hosts: int
    behind: tuple[str, ...] = ()
    silent: tuple[str, ...] = ()


async def apply(
    admin: client.AdminClient,
    request_id: str,
    expected_revision: int,
    manifest: bytes,
) -> Applied:
    """Send a manifest until it is accepted or refused, then wait.

    Raises:
        CassiashiftError: it was refused, or no entry answered.
    """
    began = time.monotonic()
    wish = administration.ApplyRequest(
        request_id, expected_revision, msgspec.Raw(manifest)
    )
    accepted = await admin.put('/manifest', administration.Revision, wish)
    return await wait(admin, request_id, accepted.revision, began)


async def wait(
    admin: client.AdminClient, request_id: str, revision: int, began: float
) -> Applied:
    """Wait until a revision is in force on every host that is heard of."""
    deadline = time.monotonic() + admin.timeout_s
    while True:
        hosts, silent = await _revisions(admin)
        behind = sorted(
            host for host, seen in hosts.items() if seen < revision
        )
        now = time.monotonic()
        is_done = bool(hosts) and not behind
        if is_done or now + POLL_INTERVAL_S > deadline:
            return Applied(
                request_id=request_id,
                revision=revision,
                in_force_after_s=round(now - began, 3) if is_done else None,
                hosts=len(hosts),
                behind=tuple(behind),
                silent=silent,
            )
        slowest = f', waiting for {behind[0]}' if behind else ''
        admin.progress.update(
            f'revision {revision} is in force on'
            f' {len(hosts) - len(behind)} of {len(hosts)} hosts{slowest}'
        )
        await asyncio.sleep(POLL_INTERVAL_S)


async def _revisions(
    admin: client.AdminClient,
) -> tuple[dict[str, int], tuple[str, ...]]:
    """Return each host's revision, and the entries that gave no answer."""
    answers = await asyncio.gather(
        *(
            admin.get_from(url, '/status', administration.Status)
            for url in admin.urls
        ),
        return_exceptions=True,
    )
    hosts: dict[str, int] = {}
    silent = []
    for url, answer in zip(admin.urls, answers, strict=True):
        if isinstance(answer, CassiashiftError):
            silent.append(url)
            continue
        if isinstance(answer, BaseException):
            raise answer
        for host, revision in answer.hosts.items():
            hosts[host] = max(hosts.get(host, 0), revision)
        # An entry's word on itself is newer than what others heard.
        hosts[answer.host] = answer.revision
    return hosts, tuple(silent)
