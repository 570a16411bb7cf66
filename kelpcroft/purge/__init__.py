"""Fleet-wide purges: the targets of a purge, one order that all routers agree on, and the resulting floors.

Nothing uses this package yet: the purge of patterns, classes and tags is planned in a separate issue.  Purges
of objects and groups already arrive by the feed; the decision package applies them
(``kelpcroft.decision.freshness``).

Pure: no I/O; times are arguments.  Imports nothing of the rest of kelpcroft.  Start reading at ``order``:

- ``order``: a hybrid logical clock, whose stamps determine which of two purges is the later one;
- ``floors``: for a request, the newest purge that applies to the requested part of an object.
"""
