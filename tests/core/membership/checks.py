"""Checks that watch the effects of members after each step."""

import attrs

from cassiashift_core import membership


@attrs.define
class StatusWatch:
    """Collects accusations, deaths and revivals as each entry declares them.

    Attributes:
        deaths: pairs of the declaring and the declared host.
        accusations: pairs of an accusing and the accused host.
        revivals: pairs in which a member that was dead or had left came
            back without a higher incarnation.
    """

    deaths: list[tuple[str, str]] = attrs.field(factory=list)
    accusations: list[tuple[str, str]] = attrs.field(factory=list)
    revivals: list[tuple[str, str]] = attrs.field(factory=list)
    _ended: dict[tuple[str, str], int] = attrs.field(factory=dict)

    def __call__(self, host, effect):
        """Take in one effect of a host."""
        if not isinstance(effect, membership.Changed):
            return
        member = effect.member
        pair = (host, member.host)
        if effect.status is membership.Status.SUSPECT:
            self.accusations.append((member.accuser, member.host))
        if effect.status is membership.Status.DEAD:
            self.deaths.append(pair)
        if not member.usable:
            self._ended[pair] = member.incarnation
        elif member.incarnation <= self._ended.get(pair, -1):
            self.revivals.append(pair)
