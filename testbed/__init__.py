"""The testbed: stand-ins for a router's peers, simulations in virtual time, and fields of real processes.

It is for tests, benchmarks and the demo; kelpcroft never imports it. Start at ``stand_ins`` (servers and the
feed on loopback), ``virtual`` (one router in virtual time), ``deployments`` (a day in a random deployment),
``cold_start`` (hundreds of routers that start together), ``rollouts`` (the routers of a rollout), ``field``
(real processes with fault injection) or ``hollow`` (hundreds of routers without clients).
"""
