"""Sends messages to hosts by name.

A host of another data centre has no known address, but can be answered over
the link on which it has sent a message.
"""

import collections
from collections.abc import Callable
from typing import Any

import attrs

from cassiashift_net import links

MAX_REMOTE_SENDERS = 4096


@attrs.define(eq=False)
class Peers:
    """Maps names of hosts to links and back.

    Attributes:
        address_of: returns the link address of a host, or None.
    """

    links: links.Links
    address_of: Callable[[str], str | None]
    _hosts: dict[str, str] = attrs.field(factory=dict)
    _remote_senders: collections.OrderedDict[str, links.Sender] = attrs.field(
        factory=collections.OrderedDict
    )

    def send(self, host: str, message: Any) -> None:
        """Send a message to a host; drop it if no link leads there."""
        address = self.address_of(host)
        if address is not None:
            self._hosts[address] = host
            self.links.send(address, message)
        elif host in self._remote_senders:
            self._remote_senders[host].reply(message)

    def host_of(self, sender: links.Sender) -> str:
        """Return the name of the host that sent a message.

        A sender without a known address is remembered for answers.
        """
        host = self._hosts.get(sender.host)
        if host is not None:
            return host
        self._remote_senders[sender.host] = sender
        self._remote_senders.move_to_end(sender.host)
        if len(self._remote_senders) > MAX_REMOTE_SENDERS:
            self._remote_senders.popitem(last=False)
        return sender.host
