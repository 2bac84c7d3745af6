"""Decisions, protocols and clients shared by the kumquatrouter programs."""
