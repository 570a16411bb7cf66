"""kelpcroft: a request router for caches, on real sockets round the decision package.

``decision`` chooses the server, whether to retry and what is rejected; ``core`` holds all state in one
reducer; ``net`` owns the sockets.  Start reading at ``core.reducer`` and docs/architecture.md.
"""
