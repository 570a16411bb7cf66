"""kelpcroft.decision: the decisions of a caching router, as a library."""
