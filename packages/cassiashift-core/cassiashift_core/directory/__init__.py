"""Directory: selects the entries that callers use."""

from cassiashift_core.directory.answers import Directory
from cassiashift_core.directory.model import Answer
from cassiashift_core.directory.model import DirectoryConfig
from cassiashift_core.directory.model import EntryView

__all__ = ['Answer', 'Directory', 'DirectoryConfig', 'EntryView']
