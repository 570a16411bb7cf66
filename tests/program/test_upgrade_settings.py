"""Upgrades of real processes right after a reload: the stricter of both files holds in the successor too."""

from __future__ import annotations

import json
import secrets
import signal
import socket
import time

from kelpcroft.config_reload import TRANSITION_NS
from testbed.router_process import RouterClient, RouterProcess
from testbed.stand_ins import ScriptedResponse, ServerCommand
from tests.support.upgrade import WAIT_S, Upgrade, is_ready, upgrade, wait_for

TRIES = 5  # upgrades until one is fast enough to show something


def answer_orders_with_errors(_server: str, command: ServerCommand) -> ScriptedResponse:
    """Every order may have run."""
    return ScriptedResponse("BROKE" if command.fields.get("cls") == "order" else "DONE")


def read_again(router: RouterProcess, idempotency: str) -> None:
    """Have the router read a file with another effect of orders."""
    raw = json.loads(router.config_path.read_bytes())
    raw["settings"]["classes"][1]["idempotency"] = idempotency
    router.config_path.write_text(json.dumps(raw))
    before = count_of(router, "config.read")
    router.process.send_signal(signal.SIGHUP)
    wait_for(lambda: count_of(router, "config.read") > before, "the reload")


def count_of(router: RouterProcess, event: str) -> int:
    """How often a router has logged an event."""
    return sum(line["event"] == event for line in router.log_events())


def times_of_sends(deployment: Upgrade) -> list[int]:
    """Send an order, and return when servers received it (monotonic ns)."""
    with socket.create_connection(deployment.listener.getsockname()[:2], WAIT_S) as sock:
        client = RouterClient(sock)
        trace = client.send_request("order", object=secrets.token_hex(8), body=b"order")
        assert next(client.responses(1)).kind != "served"
    return [command.received_ns for command in deployment.servers.requests(trace)]


def test_an_order_is_not_repeated_by_a_successor_within_the_transition() -> None:
    """The successor read the new, less strict file only, and repeated an order that may have run."""
    with upgrade(answer_orders_with_errors) as deployment:
        router = deployment.first
        for _ in range(TRIES):
            replaced_ns = time.monotonic_ns()
            read_again(router, "safe")
            successor = deployment.start(router)
            wait_for(lambda started=successor: is_ready(started), "the successor")
            router.process.send_signal(signal.SIGTERM)
            wait_for(lambda ending=router: count_of(ending, "router.ending") > 0, "the SIGTERM")
            sent_ns = times_of_sends(deployment)
            router = successor
            if sent_ns[-1] - replaced_ns < TRANSITION_NS:
                assert len(sent_ns) == 1
                break
            read_again(router, "unsafe")
        else:
            raise AssertionError(f"no upgrade within {TRANSITION_NS} ns of a reload in {TRIES} tries")
        wait_for(lambda: count_of(router, "config.settled") > 0, "the end of the transition")
        assert len(times_of_sends(deployment)) > 1


def write_file(router: RouterProcess, idempotency: str | None) -> None:
    """Write a file with another effect of orders; None leaves the key out, for which the file is refused."""
    raw = json.loads(router.config_path.read_bytes())
    orders = raw["settings"]["classes"][1]
    orders.pop("idempotency", None)
    if idempotency is not None:
        orders["idempotency"] = idempotency
    router.config_path.write_text(json.dumps(raw))


def upgraded(deployment: Upgrade, router: RouterProcess) -> RouterProcess:
    """Start a successor, end its predecessor, and return the successor."""
    successor = deployment.start(router)
    wait_for(lambda: is_ready(successor), "the successor")
    router.process.send_signal(signal.SIGTERM)
    wait_for(lambda: router.process.poll() is not None, "the end of the predecessor")
    return successor


def test_a_file_that_was_refused_is_refused_by_successors_too() -> None:
    """A start checked its file less strictly than a reload: orders that may have run were sent again."""
    with upgrade(answer_orders_with_errors) as deployment:
        write_file(deployment.first, None)
        deployment.first.process.send_signal(signal.SIGHUP)
        wait_for(lambda: count_of(deployment.first, "config.refused") == 1, "the refusal at the reload")
        second = upgraded(deployment, deployment.first)
        assert count_of(second, "config.refused") == 1
        assert len(times_of_sends(deployment)) == 1
        third = upgraded(deployment, second)
        assert count_of(third, "config.refused") == 1
        assert len(times_of_sends(deployment)) == 1
        write_file(third, "safe")
        fourth = upgraded(deployment, third)
        assert count_of(fourth, "config.refused") == 0
        assert len(times_of_sends(deployment)) > 1


def test_a_successor_uses_what_a_reload_accepted_before_a_file_was_refused() -> None:
    """The last file that was accepted is in force, not that of the start."""
    with upgrade(answer_orders_with_errors) as deployment:
        read_again(deployment.first, "safe")
        write_file(deployment.first, None)
        successor = upgraded(deployment, deployment.first)
        wait_for(lambda: count_of(successor, "config.refused") == 1, "the refusal at the start")
        time.sleep(TRANSITION_NS / 1e9)
        assert len(times_of_sends(deployment)) > 1
