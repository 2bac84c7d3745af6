"""Client accounts: keys, priorities and quotas."""
