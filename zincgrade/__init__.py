"""zincgrade: the decisions of a caching router, as a library."""
