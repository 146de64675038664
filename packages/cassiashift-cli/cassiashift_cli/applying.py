"""Applies a manifest and waits until it is in force on every host."""

import asyncio
import time

import attrs
import msgspec

from cassiashift_cli import client
from cassiashift_core import CassiashiftError
from cassiashift_net import administration

POLL_INTERVAL_S = 0.2


@attrs.frozen
class ApplyResult:
    """The outcome of an accepted manifest.

    Attributes:
        in_force_after_s: seconds from the first request until every host that
            an entry knows had the revision; None after the timeout.
        behind: hosts whose last known revision is older.
        silent: URLs of entries that did not answer the last poll.
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
) -> ApplyResult:
    """Send a manifest until it is accepted, then wait until in force.

    Raises:
        CassiashiftError: it was refused, or no entry answered in time.
    """
    start_s = time.monotonic()
    req = administration.ApplyRequest(
        request_id, expected_revision, msgspec.Raw(manifest)
    )
    accepted = await admin.put('/manifest', administration.Revision, req)
    return await wait_in_force(admin, request_id, accepted.revision, start_s)


async def wait_in_force(
    admin: client.AdminClient, request_id: str, revision: int, start_s: float
) -> ApplyResult:
    """Poll until all known hosts have a revision or the time is up."""
    deadline = time.monotonic() + admin.timeout_s
    while True:
        hosts, silent = await _collect_revisions(admin)
        behind = sorted(
            host for host, reported in hosts.items() if reported < revision
        )
        now = time.monotonic()
        is_in_force = bool(hosts) and not behind
        if is_in_force or now + POLL_INTERVAL_S > deadline:
            return ApplyResult(
                request_id=request_id,
                revision=revision,
                in_force_after_s=round(now - start_s, 3)
                if is_in_force
                else None,
                hosts=len(hosts),
                behind=tuple(behind),
                silent=silent,
            )
        waiting_for = f', waiting for {behind[0]}' if behind else ''
        admin.progress.update(
            f'revision {revision} is in force on'
            f' {len(hosts) - len(behind)} of {len(hosts)} hosts{waiting_for}'
        )
        await asyncio.sleep(POLL_INTERVAL_S)


async def _collect_revisions(
    admin: client.AdminClient,
) -> tuple[dict[str, int], tuple[str, ...]]:
    """Return each host's revision, and URLs of entries without an answer."""
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
        # An entry knows its own revision earlier than other entries do.
        hosts[answer.host] = answer.revision
    return hosts, tuple(silent)
