"""The reducer and the state it owns: an input and the time go in, effects come out.

No socket, file, process or clock is touched here, and nothing is decided: that is ``kelpcroft.decision``'s.
Besides it the package imports pure parts of ``discovery``, ``startup``, ``control_log``, ``routes``,
``config_reload``, ``deployment_check``, ``settings_wire``, ``store.identity`` and ``invariants``, the types
of the operator's file, and ``Config`` and ``parse_address`` of ``config``, which also reads the file.

Start reading at ``reducer.Reducer``: one table from type of input to handler.

- ``inputs``, ``effects``, ``messages``: what goes in, what comes out, what both are made of.
- ``state``: the tables that the parts share, and the time of the input in hand.
- ``clients``, ``client_requests``, ``idempotency_keys``, ``request_statistics``: requests, final answers.
- ``decision_loop``: events to the decision module, its actions carried out.
- ``attempt_sending``, ``attempts``, ``attempt_completion``: an attempt from its beginning to its end.
- ``connection_pool``, ``server_connections``, ``health_checks``, ``response_times``, ``silence_detection``:
  connections to servers.
- ``feed_watch``, ``configured_feed``, ``replica_feed``, ``feed_position``, ``endpoint_list``: the feed and
  which servers may be used.
- ``operator_settings``, ``config_reload``: files read again.
- ``process_status``, ``service_state``, ``control_requests``, ``predecessor``, ``shutdown``: the process.
- ``timers``, ``housekeeping``, ``process_log``, ``descriptors``.
"""
