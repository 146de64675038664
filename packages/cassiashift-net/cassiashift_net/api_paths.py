"""Paths of the administration API that the platform's entries serve too."""

PREFIX = '/admin/v1'
