"""A change in stages: new routers are compared with old ones while requests go on, then kept or taken back.

What decides has no file, socket, clock or random source, and virtual-time tests drive it: ``plan`` (the
rollout file), ``judge`` (the sequential test of new against old), ``state_machine`` (events and the time
in, commands and history entries out) and ``snapshot`` (its stored form).  Two modules act on what is
decided or asked: ``router_drivers`` (control addresses, the operators' tool, local processes) and
``placement`` (where a build's decision code puts objects).

Start reading at ``state_machine.Rollout.handle``.  It works on the record in ``state`` with ``observations``
(what is known about routers), ``transitions`` (one router's way from phase to phase), ``comparison`` (which
requests are compared), ``stages`` (forward) and ``rollback`` (backward); ``phases`` and ``events`` hold the
vocabulary.  The process that carries it out is ``kelpcroft.cli.controller``, its store
``kelpcroft.store.rollouts``.
"""
