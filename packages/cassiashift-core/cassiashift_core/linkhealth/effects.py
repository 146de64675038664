"""What a link must do; connections are numbered from 0."""

import attrs


@attrs.frozen
class SendProbe:
    """Send a probe over a connection; its answer repeats the token."""

    connection: int
    token: int


@attrs.frozen
class Open:
    """Open another connection to the peer."""

    connection: int


@attrs.frozen
class Switch:
    """Send over this connection from now on; keep reading the others."""

    connection: int


@attrs.frozen
class Close:
    """Close a connection; answers that were due on it are lost."""

    connection: int


@attrs.frozen
class GiveUp:
    """Close the link with all its connections; the peer is silent."""


Effect = SendProbe | Open | Switch | Close | GiveUp
