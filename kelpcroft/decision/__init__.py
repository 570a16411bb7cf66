"""The decisions of a router, as a library: which server, whether to retry, what is rejected.

It owns what a router has measured of servers, objects and classes, and the requests in flight.  It does no
I/O, reads no clock and imports nothing of the rest of kelpcroft; the standard library is enough.

Start with ``interface`` (what goes in and comes out) and ``policy`` (``RoutingPolicy.handle``: which part
takes which event).  The parts, in the order in which a request meets them:

- ``admission``: is it admitted?  By price, with ``latency_model`` for expected times.
- ``cache_selection``: which cache?  A hash with bounded load; ``idempotency`` and ``slow_start`` rule servers
  out.
- ``fill_sources``: where is a miss filled from?
- ``route_selection``: these two for one attempt, or a server past the caches.
- ``forwarding``: the attempt itself; ``freshness`` says how old a copy may be.
- ``attempt_feedback``: what its end tells, and ``outlier_ejection``: who is to blame.
- ``retries``: another attempt, a hedge, or (``request_completion``) the final answer.

``router_state`` is what they share, with ``endpoint_directory``, ``endpoint``, ``object_history`` and
``requests`` as its records; ``statistics`` is their arithmetic.
"""
