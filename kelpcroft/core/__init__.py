"""The reducer and its state: the reducer maps each input, with the current time, to a list of effects.

The package uses no socket, file, process or clock, and makes no routing decisions:
``kelpcroft.decision`` makes them.  Besides that package it imports the pure modules of ``discovery``,
``startup``, ``control_log``, ``routes``, ``config_reload``, ``deployment_check``, ``settings_wire``,
``store.identity`` and ``invariants``, the types of the operator's file, and ``Config`` and
``parse_address`` of ``config``, a module that also reads the configuration file.

Start reading at ``reducer.Reducer``, which has one table from input type to handler.

- ``inputs``, ``effects``, ``messages``: the inputs, the effects, and the types that both use.
- ``state``: the tables that the components share, and the time of the current input.
- ``clients``, ``client_requests``, ``idempotency_keys``, ``request_statistics``: requests and their final
  responses.
- ``decision_loop``: passes events to the decision package and carries out its actions.
- ``attempt_sending``, ``attempts``, ``attempt_completion``: an attempt from its start to its end.
- ``connection_pool``, ``server_connections``, ``health_checks``, ``response_times``, ``silence_detection``:
  connections to servers.
- ``feed_watch``, ``configured_feed``, ``replica_feed``, ``feed_position``, ``endpoint_list``: the feed, and
  the servers that may be used.
- ``operator_settings``, ``config_reload``: files that are reloaded while the process runs.
- ``process_status``, ``service_state``, ``control_requests``, ``predecessor``, ``shutdown``: the process.
- ``timers``, ``housekeeping``, ``process_log``, ``descriptors``: timers, periodic work, log lines about the
  process, and the allocation of file descriptors.
"""
