"""Checks the heads of upstreams' answers as strictly as RFC 9112 defines them.

The parser of the HTTP client is lenient: it accepts heads that a strict reader
rejects, such as a name that is followed by a blank, and reads some of them as
other fields or as another framing of the body.
"""

import re

import aiohttp
import attrs

# The end of a head, or of a line that has no carriage return.
_END = re.compile(rb'\r\n\r\n|(?<!\r)\n')
_VALUE = rb'[\t\x20-\x7e\x80-\xff]*'
_HEAD = re.compile(
    rb'HTTP/1\.([01]) ([1-5][0-9]{2})(?: ' + _VALUE + rb')?\r\n'
    rb"(?:[!#$%&'*+\-.^_`|~0-9A-Za-z]+:" + _VALUE + rb'\r\n)*\r\n'
)
_FRAMING = re.compile(
    rb'^(content-length|transfer-encoding):[ \t]*(.*?)[ \t]*\r$',
    re.IGNORECASE | re.MULTILINE,
)
_LENGTH = re.compile(rb'[0-9]{1,18}')
# A search begins so many bytes before newly received ones.
_END_BYTES = 4
_SWITCHING_PROTOCOLS = 101
_FIRST_FINAL_STATUS = 200


class MalformedHeadError(aiohttp.ClientPayloadError):
    """The head of an answer is none that HTTP/1.1 permits."""


@attrs.define
class HeadCheck:
    """Checks the head of one answer, and those of interim answers before it.

    Attributes:
        is_over: the head of the final answer has been checked.
    """

    is_over: bool = False
    _received: bytearray = attrs.field(factory=bytearray)

    def feed(self, data: bytes) -> None:
        """Check received bytes; those after the last head are ignored.

        Raises:
            MalformedHeadError: they are no head, or one that is not permitted.
        """
        searched = max(0, len(self._received) - _END_BYTES)
        self._received += data
        while not self.is_over:
            end = _END.search(self._received, searched)
            if end is None:
                return
            head = bytes(self._received[: end.end()])
            del self._received[: end.end()]
            searched = 0
            self.is_over = _status(head) >= _FIRST_FINAL_STATUS
        self._received.clear()


def _status(head: bytes) -> int:
    """Return the status of a head that is permitted.

    Raises:
        MalformedHeadError: it is not.
    """
    match = _HEAD.fullmatch(head)
    if match is None:
        raise MalformedHeadError('the head of the answer is malformed')
    version, status = match[1], int(match[2])
    if status == _SWITCHING_PROTOCOLS:
        raise MalformedHeadError('no other protocol was asked for')
    framing = _FRAMING.findall(head)
    is_known = not framing or (
        len(framing) == 1
        and status >= _FIRST_FINAL_STATUS
        and _is_known_framing(*framing[0], is_old=version == b'0')
    )
    if not is_known:
        raise MalformedHeadError('the framing of the answer is not known')
    return status


def _is_known_framing(name: bytes, value: bytes, is_old: bool) -> bool:
    """Return whether a field determines where the body ends.

    Args:
        is_old: the answer is of HTTP/1.0, which has no chunks.
    """
    if name.lower() == b'content-length':
        return _LENGTH.fullmatch(value) is not None
    return value.lower() == b'chunked' and not is_old
