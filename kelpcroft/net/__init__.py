"""Sockets, their codecs, and the event loop that runs one router in one thread.

This package owns every socket, the selector, the write buffers, the timers, and the files that a router
process leaves for its successor.  It makes no routing decision: received messages become inputs of the
reducer (``kelpcroft.core``), and the effects that the reducer returns are carried out here.  The package
does decide which connection is closed when connection slots, descriptors or buffers run out, or when a peer
is silent.  It may import every package of the program except ``cli``.  The codecs (``..._codec``,
``event_stream``) hold no socket.

Start reading at ``event_loop`` (the order of an iteration), then ``transport`` (the code shared by all kinds
of connection) and the module of each kind: ``client_connections``, ``server_connections``, ``feed_client``,
``control_endpoint``.  ``control_replica_server`` is the event loop of the control replica, a separate
program.
"""
