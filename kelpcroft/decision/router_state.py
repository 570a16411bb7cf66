"""What all parts of the decisions share: settings, the time of the event, servers, requests and actions."""

from __future__ import annotations

from kelpcroft.decision.actions import Action
from kelpcroft.decision.endpoint_directory import EndpointDirectory
from kelpcroft.decision.object_history import ObjectHistories
from kelpcroft.decision.requests import InFlightRequest
from kelpcroft.decision.settings import RequestClass, Settings


class RouterState:
    """The shared state of one router's decisions.

    Attributes:
        settings: The settings as of the last change.
        request_classes: Its classes by name.
        now_ns: The time of the event that is handled.
        actions: What that event makes the router do, in order.
        histories: What is remembered of objects.
        directory: The known servers.
        requests_in_flight: Requests that are owed an answer or have attempts out, by their id, in order of
            arrival.
        router_share: This process's part of its router's budgets for cold servers; under 1 while another
            process of the same router may be sending too.
        origin_fills_allowed: False while the origin may not be asked for one more fill that is kept.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.request_classes: dict[str, RequestClass] = {}
        self.now_ns = 0
        self.actions: list[Action] = []
        self.histories = ObjectHistories()
        self.directory = EndpointDirectory(settings.zone, self.histories)
        self.requests_in_flight: dict[str, InFlightRequest] = {}
        self.router_share = 1.0
        self.origin_fills_allowed = True
        self.change_settings(settings)

    def change_settings(self, settings: Settings) -> None:
        """Use other classes and limits from now on.

        Requests in flight keep their class, and the attempts they were allowed if those are fewer.  The own
        zone stays what it was at the start.
        """
        self.settings = settings
        self.request_classes = {request_class.name: request_class for request_class in settings.classes}
