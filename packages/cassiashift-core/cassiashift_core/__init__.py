"""Decision logic of cassiashift, without I/O.

Nothing here opens sockets or files, reads a clock or uses the global random
generator.
"""

from cassiashift_core.errors import CassiashiftError
from cassiashift_core.errors import ErrorCode
from cassiashift_core.verdicts import Verdict

__all__ = [
    'CassiashiftError',
    'ErrorCode',
    'Verdict',
]
