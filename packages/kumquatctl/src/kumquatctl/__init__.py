"""kumquatctl: the command line tool for operators of kumquatrouter."""
