"""The control log: the list of servers and the purges, replicated and handed on to routers.  Pure: no I/O.

A list service numbers its events.  Control replicas follow it, or each other, and answer the long polls of
many routers in its place.  Two programs are built on this package: the control replica
(``kelpcroft.net.control_replica_server``) and the router's watch on replicas (``kelpcroft.core``).

Owns the state of a control replica and a router's position in the log.  Imports nothing of the rest of
kelpcroft.  Start reading at ``replica``:

- ``messages``: what goes into a control replica's state machine and what comes out;
- ``replica``: the state machine, made of ``upstream`` (what it follows), ``watchers`` (whom it answers) and
  ``lease`` (whether its state is recent enough to be told);
- ``log``: the compacted state of a log, and its tail;
- ``follower``: what an answer means for who follows the log;
- ``upstream_selection``: which of several replicas is called, and when the next one is;
- ``subscription``: a router's watch on control replicas.
"""
