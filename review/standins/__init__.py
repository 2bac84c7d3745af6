"""Stand-ins for the store, the engines and the hosts of the cases."""
