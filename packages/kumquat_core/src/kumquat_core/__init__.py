"""Scheduling, protocols and clients shared by the kumquatrouter programs."""
