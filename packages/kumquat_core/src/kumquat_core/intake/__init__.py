"""Bounds on what callers take of a host: memory and connections."""
