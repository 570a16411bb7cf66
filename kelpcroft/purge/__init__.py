"""Fleet-wide purges: what is purged, in one order that all routers agree on, and the floors that follow.

Nothing uses this package yet: the purge of patterns, classes and tags waits for its issue.  Today's purges of
objects and groups come by the feed and are the decision code's (``kelpcroft.decision.freshness``).

Pure: no I/O; times are arguments.  Imports nothing of the rest of kelpcroft.  Start reading at ``order``:

- ``order``: a hybrid logical clock, whose stamps say which of two purges is the later one;
- ``floors``: for a request, the newest purge that touches what it asks for.
"""
