"""kelpcroft: a request router for caches, which runs the decision package on real sockets.

``decision`` chooses the server, whether to retry and what is rejected; ``core`` holds all state in one
reducer; ``net`` owns the sockets.  Start reading at ``core.reducer`` and docs/architecture.md.
"""
