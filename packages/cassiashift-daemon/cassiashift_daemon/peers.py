"""Sends messages to hosts by name.

A host whose address is not known, because it belongs to another data
centre, can still be answered over the link on which it asked.
"""

import collections
from collections.abc import Callable
from typing import Any

import attrs

from cassiashift_net import links

MAX_ASKERS = 4096


@attrs.define(eq=False)
class Peers:
    """Names for the ends of links.

    Attributes:
        address_of: returns the link address of a host, or None.
    """

    links: links.Links
    address_of: Callable[[str], str | None]
    _hosts: dict[str, str] = attrs.field(factory=dict)
    _askers: collections.OrderedDict[str, links.Sender] = attrs.field(
        factory=collections.OrderedDict
    )

    def send(self, host: str, message: Any) -> None:
        """Send a message to a host, if there is a way to it."""
        address = self.address_of(host)
        if address is not None:
            self._hosts[address] = host
            self.links.send(address, message)
        elif host in self._askers:
            self._askers[host].reply(message)

    def host_of(self, sender: links.Sender) -> str:
        """Return the name of the host that sent a message."""
        host = self._hosts.get(sender.host)
        if host is not None:
            return host
        self._askers[sender.host] = sender
        self._askers.move_to_end(sender.host)
        if len(self._askers) > MAX_ASKERS:
            self._askers.popitem(last=False)
        return sender.host
