"""The testbed: stand-ins for what a router speaks with, virtual time, and fields of real processes.

It is for tests, benchmarks and the demo; kelpcroft never imports it. Start at ``stand_ins`` (servers and the
feed on loopback), ``virtual`` (one router in virtual time), ``deployments`` (a day at a generated site),
``cold_start`` (hundreds of routers at once), ``rollouts`` (routers as a rollout sees them), ``field`` (real
processes with faults between them) or ``hollow`` (hundreds of routers without clients).
"""
