"""Records the status changes that members report."""

import attrs

from cassiashift_core import membership


@attrs.define
class StatusRecorder:
    """Records suspicions, deaths and revivals from the effects of entries.

    Attributes:
        deaths: pairs of the reporting host and the one declared dead.
        accusations: pairs of the accusing and the suspected host.
        revivals: pairs of the reporting host and a member that was dead
            or had left and became usable at the same or a lower
            incarnation.
    """

    deaths: list[tuple[str, str]] = attrs.field(factory=list)
    accusations: list[tuple[str, str]] = attrs.field(factory=list)
    revivals: list[tuple[str, str]] = attrs.field(factory=list)
    _unusable: dict[tuple[str, str], int] = attrs.field(factory=dict)

    def __call__(self, host, effect):
        """Record an effect of a host; others than ``Changed`` are ignored."""
        if not isinstance(effect, membership.Changed):
            return
        member = effect.member
        pair = (host, member.host)
        if effect.status is membership.Status.SUSPECT:
            self.accusations.append((member.accuser, member.host))
        if effect.status is membership.Status.DEAD:
            self.deaths.append(pair)
        if not member.usable:
            self._unusable[pair] = member.incarnation
        elif member.incarnation <= self._unusable.get(pair, -1):
            self.revivals.append(pair)
