"""Generates the example manifests, as a build pipeline would."""
