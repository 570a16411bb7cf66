"""Control requests: drain, resume and state.  Each gets its response in the same iteration."""

from __future__ import annotations

from kelpcroft.core.effects import ControlResponse, DrainClients, PersistServiceState
from kelpcroft.core.endpoint_list import EndpointList
from kelpcroft.core.inputs import ControlOperation, ControlRequest
from kelpcroft.core.process_status import ProcessStatus
from kelpcroft.core.state import MS, SECOND, State
from kelpcroft.invariants import violations
from kelpcroft.store.identity import settings_digest


class ControlRequests:
    """Drains the process, returns it to service, and reports its state."""

    def __init__(self, state: State, process: ProcessStatus, endpoint_list: EndpointList) -> None:
        self.state = state
        self.process = process
        self.endpoint_list = endpoint_list

    def on_request(self, request: ControlRequest) -> None:
        """Carry out a control request and send its response."""
        if request.operation is ControlOperation.OUT_OF_SERVICE:
            self.drain()
        elif request.operation is ControlOperation.IN_SERVICE:
            self.resume()
        reason = self.process.not_ready_reason(self.endpoint_list.has_endpoint_list)
        if request.operation is ControlOperation.STATE:
            self.state.effects.append(
                ControlResponse(request.control_client, True, self.process_state(reason))
            )
            return
        fields: dict[str, object] = {"ready": not reason, "service": self.process.service_state.mode.value}
        if reason:
            fields["why"] = reason
        is_ok = request.operation is not ControlOperation.READY or not reason
        self.state.effects.append(ControlResponse(request.control_client, is_ok, fields))

    def drain(self) -> None:
        """Go out of service: close each client's connection once no response is pending on it.

        The request has no effect if the process is not in service.  A drained process completes its open
        requests and keeps running, so that it can be returned to service.
        """
        state = self.state
        if not self.process.service_state.drain(state.now):
            return
        requests, clients = len(state.requests), len(self.process.clients)
        state.log(
            "service.out",
            f"out of service: closing client connections; {requests} requests open, {clients} clients",
            "info",
            {"open": requests, "clients": clients},
        )
        state.effects += [DrainClients(True), PersistServiceState(False, state.now)]

    def resume(self) -> None:
        """Accept clients again; no effect if the process is in service or shuts down."""
        state = self.state
        out_since_ns = self.process.service_state.since_ns
        if not self.process.service_state.resume(state.now):
            return
        out_s = (state.now - out_since_ns) / SECOND
        state.log("service.in", f"in service again after {out_s:.1f} s", "info", {"out_s": round(out_s, 3)})
        state.effects += [DrainClients(False), PersistServiceState(True, state.now)]

    def process_state(self, not_ready_reason: str) -> dict[str, object]:
        """Return the process's identity, its counts and its request statistics.

        The report has a bounded size and affects no request.  Its keys are on the wire of the control
        address.
        """
        state, process = self.state, self.process
        return {
            "name": state.config.name,
            "instance": process.identity.instance,
            "build": process.identity.build,
            "settings": settings_digest(state.raw_config.get("settings")),
            "rules": process.operator_file_digest,
            "started_ms": process.started_ns // MS,
            "now_ms": state.now // MS,
            "ready": not not_ready_reason,
            "why": not_ready_reason,
            "service": process.service_state.mode.value,
            "since_ms": process.service_state.since_ns // MS,
            "open": len(state.requests),
            "attempts": len(state.attempts),
            "connections": len(state.connections.by_number),
            "clients": len(process.clients),
            "invariants": sum(violations.values()),
            "classes": state.statistics.as_json() if state.statistics else {},
        }
