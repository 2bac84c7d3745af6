"""Operator tool of kumquatrouter."""
