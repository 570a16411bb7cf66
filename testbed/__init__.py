"""The laboratory: stand-ins for what a router speaks with.  Never imported by kelpcroft."""
