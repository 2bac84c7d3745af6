"""A randomized soak of real host processes with faults from outside."""
