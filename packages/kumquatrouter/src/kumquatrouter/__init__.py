"""Entry-host process of kumquatrouter."""
