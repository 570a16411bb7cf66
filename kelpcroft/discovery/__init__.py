"""Discovery: a router's schedule of watch requests to the list service, and its view of the endpoint list.

Owns that schedule, the view, and the timeouts of a watch.  Pure: no I/O and no clock of its own.  Imports the
records of ``kelpcroft.core.inputs`` and the rules of the decision package, nothing else of kelpcroft.
``kelpcroft.core.endpoint_list`` uses it; start reading there, or at ``schedule``:

- ``schedule``: when the next watch request is sent, within a request budget for the whole fleet;
- ``endpoint_view``: which records of a list are used, as the list service may be wrong;
- ``watch_timeouts``: how long a watch request waits for events, and how long it may stay silent.
"""
