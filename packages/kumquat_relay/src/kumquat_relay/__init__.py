"""Relays opaque requests to backend servers and engines by host and path."""
