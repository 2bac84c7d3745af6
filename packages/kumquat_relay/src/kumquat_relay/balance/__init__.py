"""Even load over plain backend servers that many hosts share."""
