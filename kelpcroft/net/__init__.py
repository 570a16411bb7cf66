"""Sockets, their codecs, and the event loop that runs one router in one thread.

Owns every socket, the selector, write buffers and timers, and the files that one process of a router leaves
for the next.  Makes no routing decision: what comes in becomes an input of the reducer
(``kelpcroft.core``), and what the reducer asks for is carried out here.  It does decide which connection is
closed when places or buffers run out, or when a peer is silent.  May import all of the program but ``cli``;
the codecs (``..._codec``, ``event_stream``) hold no socket.

Start reading at ``event_loop`` (the order of a turn), then ``transport`` (what all kinds of connection share)
and the module of a kind: ``client_connections``, ``server_connections``, ``feed_client``,
``control_endpoint``.  ``control_replica_server`` is the other program's loop.
"""
