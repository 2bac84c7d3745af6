"""Connections and refusals of a relay host that bounds what callers take."""
