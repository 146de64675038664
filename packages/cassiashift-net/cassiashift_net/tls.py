"""TLS contexts of the HTTP interfaces, from the files in the settings."""

import ssl

from cassiashift_core import CassiashiftError
from cassiashift_core import ErrorCode


def server_context(cert_file: str, key_file: str) -> ssl.SSLContext | None:
    """Return the TLS context of a server, or None if no file is set.

    Raises:
        CassiashiftError: a file is missing or can't be used.
    """
    if not cert_file and not key_file:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        context.load_cert_chain(cert_file, key_file)
    except (OSError, ValueError) as exc:
        raise _files_error(f'{cert_file}, {key_file}', exc) from exc
    return context


def client_context(ca_file: str = '') -> ssl.SSLContext:
    """Return the TLS context of a client.

    It trusts the authority in the file, or the system's without one.

    Raises:
        CassiashiftError: the file is missing or can't be used.
    """
    try:
        context = ssl.create_default_context(cafile=ca_file or None)
    except (OSError, ValueError) as exc:
        raise _files_error(ca_file, exc) from exc
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    return context


def _files_error(files: str, exc: Exception) -> CassiashiftError:
    return CassiashiftError(
        ErrorCode.BAD_REQUEST, f'TLS files {files} can not be used: {exc}'
    )
