"""Durable storage of the replicated log in local files."""

from cassiashift_daemon.storage.filesystem import File
from cassiashift_daemon.storage.filesystem import FileSystem
from cassiashift_daemon.storage.store import Storage

__all__ = ['File', 'FileSystem', 'Storage']
