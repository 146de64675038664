"""Heads of answers that HTTP/1.1 doesn't permit, and unusual ones it does."""

PLAIN = b'HTTP/1.1 200 OK'
LENGTH = b'Content-Length: %d'
CHUNKS = b'Transfer-Encoding: chunked'

# Status line, fields after the signed ones, and the framing of the body.
HEADS = {
    **{
        f'status {status}': (b'HTTP/1.1 %s Odd' % status.encode(), (), LENGTH)
        for status in ('000', '001', '042', '099', '101', '600', '999', '20')
    },
    **{
        f'version {version}': (
            b'%s 200 OK' % version.encode(),
            (),
            LENGTH,
        )
        for version in ('HTTP/0.9', 'HTTP/2.0', 'HTTP/1.2', 'http/1.1', 'X')
    },
    **{
        f'control byte {byte:02x} in a value': (
            PLAIN,
            (b'X-A: a%cb' % byte,),
            LENGTH,
        )
        for byte in (0x00, 0x01, 0x0B, 0x0C, 0x0D, 0x1F, 0x7F)
    },
    **{
        f'byte {byte:02x} in a name': (PLAIN, (b'X%cA: a' % byte,), LENGTH)
        for byte in (0x01, 0x09, 0x20, 0x28, 0x2F, 0x7F, 0x80)
    },
    **{
        f'{coding}': (PLAIN, (), b'Transfer-Encoding: %s' % coding.encode())
        for coding in ('gzip, chunked', 'chunked, chunked', 'xchunked', '')
    },
    **{
        f'blank after {name}': (PLAIN, (b'%s : x' % name.encode(),), LENGTH)
        for name in ('X-A', 'Connection', 'Proxy-Connection', 'Upgrade')
    },
    'control byte in the reason': (b'HTTP/1.1 200 O\x01K', (), LENGTH),
    'chunks and a blank': (PLAIN, (), b'Transfer-Encoding : chunked'),
    'folded line': (PLAIN, (b' X-A: b',), LENGTH),
    'folded line with a tab': (PLAIN, (b'\tb',), LENGTH),
    'no colon': (PLAIN, (b'X-A',), LENGTH),
    'no name': (PLAIN, (b': a',), LENGTH),
    'bare line feed': (PLAIN, (b'X-A: a\nX-B: b',), LENGTH),
    'two lengths': (PLAIN, (b'Content-Length: 4',), LENGTH),
    'length and chunks': (PLAIN, (b'Content-Length: 4',), CHUNKS),
    'two codings': (PLAIN, (CHUNKS,), CHUNKS),
    'signed length': (PLAIN, (), b'Content-Length: +%d'),
    'chunks of HTTP/1.0': (b'HTTP/1.0 200 OK', (), CHUNKS),
    'malformed interim': (
        b'HTTP/1.1 103 Odd\r\nX-A : a\r\n\r\nHTTP/1.1 200 OK',
        (),
        LENGTH,
    ),
    'interim with a length': (
        b'HTTP/1.1 100 Odd\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK',
        (),
        LENGTH,
    ),
    'malformed after an interim': (
        b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK',
        (b'X-A : a',),
        LENGTH,
    ),
}
WELL_FORMED = {
    'plain': (PLAIN, (), LENGTH),
    'no reason': (b'HTTP/1.1 200', (), LENGTH),
    'empty reason': (b'HTTP/1.1 200 ', (), LENGTH),
    'version 1.0': (b'HTTP/1.0 200 OK', (), LENGTH),
    'no blank after the colon': (PLAIN, (b'X-A:a',), LENGTH),
    'blanks around a value': (PLAIN, (b'X-A: \t a b \t',), LENGTH),
    'empty value': (PLAIN, (b'X-A:',), LENGTH),
    'text that is not ASCII': (PLAIN, (b'X-A: \xc3\xa9\xe9',), LENGTH),
    'odd separators': (PLAIN, (b"!#$%&'*+-.^_`|~9: a",), LENGTH),
    'chunks': (PLAIN, (), b'transfer-encoding:Chunked'),
    'interim': (
        b'HTTP/1.1 100 Continue\r\n\r\n'
        b'HTTP/1.1 103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK',
        (),
        LENGTH,
    ),
}


def answer(name, body, signed=()):
    """Return the bytes of an answer with the head of a name.

    Args:
        signed: lines that come first, such as the id of the request.
    """
    status_line, lines, framing = (HEADS | WELL_FORMED)[name]
    if b'%d' in framing:
        framing %= len(body)
    elif b'hunked' in framing:
        body = b'%x\r\n%s\r\n0\r\n\r\n' % (len(body), body)
    head = b'\r\n'.join((status_line, *signed, *lines, framing, b'', b''))
    return head + body
