"""Decisions of a router as a library: server selection, retries and admission.

The package holds the router's measurements of servers, objects and classes, and the requests in flight.  It
does no I/O, reads no clock and imports no other package of kelpcroft, only the standard library.

Start with ``interface`` (the input and output types) and ``policy`` (``RoutingPolicy.handle``, which passes
each event to the modules that handle it).  The modules, in the order in which they handle a request:

- ``admission``: decides by price whether the request is admitted; ``latency_model`` provides expected times.
- ``cache_selection``: selects a cache by a hash with bounded loads; ``idempotency`` and ``slow_start``
  exclude servers.
- ``fill_sources``: ranks the servers from which a miss is filled.
- ``route_selection``: combines these two for one attempt, or selects a server that bypasses the caches.
- ``forwarding``: sends the attempt; ``freshness`` limits the age of the copy.
- ``attempt_feedback``: evaluates the end of the attempt; ``outlier_ejection`` attributes failures to servers.
- ``retries``: sends another attempt or a hedge; ``request_completion`` sends the final response.

``router_state`` is the state that these modules share; its records are in ``endpoint_directory``,
``endpoint``, ``object_history`` and ``requests``.  ``statistics`` provides hashes and running means.
"""
