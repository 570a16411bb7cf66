"""Control log: the list of servers and the purges, replicated and forwarded to routers.  Pure: no I/O.

A list service numbers its events.  Control replicas follow it, or each other, and respond to the watch
requests of many routers in its place.  Two programs are built on this package: the control replica
(``kelpcroft.net.control_replica_server``) and the router's watch on replicas (``kelpcroft.core``).

Owns the state of a control replica and a router's position in the log.  Imports nothing of the rest of
kelpcroft.  Start reading at ``replica``:

- ``messages``: inputs and effects of a control replica's state machine;
- ``replica``: the state machine, composed of ``upstream`` (the log that it follows), ``watchers`` (the watch
  requests that it responds to) and ``lease`` (whether its state is recent enough to be sent as current);
- ``log``: the compacted state of a log, and its tail;
- ``follower``: how a follower of the log judges a response;
- ``upstream_selection``: which of several replicas receives the next watch request, and when;
- ``subscription``: a router's watch on control replicas.
"""
