"""Relays opaque requests by host and path to backend servers and engines."""
