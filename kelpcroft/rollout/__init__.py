"""Staged rollout of a change to routers: each stage compares new routers with old ones under live traffic.

A change without a regression is accepted.  After a regression, the rollout is rolled back or held, as the
plan specifies.

The modules that decide use no file, socket, clock or random source, and virtual-time tests drive them:
``plan`` (the content of the rollout file), ``judge`` (the sequential test of new against old routers),
``state_machine`` (input: events and the time; output: commands and history entries) and ``snapshot`` (its
stored form).  Two modules act on their surroundings: ``router_drivers`` (control addresses, the operators'
tool, local processes) and ``placement`` (the cache that a build's decision package selects for each object).

Start reading at ``state_machine.Rollout.handle``.  It works on the record in ``state`` with ``observations``
(what routers have reported), ``transitions`` (the phases of one router), ``comparison`` (which requests are
compared), ``stages`` (progress through the stages) and ``rollback`` (the way back to the old build);
``phases`` and ``events`` define the types that all of them use.  The process that executes a rollout is
``kelpcroft.cli.controller``; it stores rollouts with ``kelpcroft.store.rollouts``.
"""
