"""When a router asks the list service, what of its answers is used, and when a silent call is given up.

Owns a router's schedule of calls and its view of the list.  Pure: no I/O and no clock of its own.  Imports
the records of ``kelpcroft.core.inputs`` and the rules of the decision code, nothing else of kelpcroft.
``kelpcroft.core.endpoint_list`` uses it; start reading there, or at ``schedule``:

- ``schedule``: when the next call is made, within a budget of calls for the whole fleet;
- ``endpoint_view``: which lines of a list are used where the list service may be wrong;
- ``watch_timeouts``: how long a call waits for news, and how long it may stay silent.
"""
