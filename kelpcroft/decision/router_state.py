"""State that the modules of the decision package share: settings, time, servers, requests and actions."""

from __future__ import annotations

from kelpcroft.decision.actions import Action
from kelpcroft.decision.endpoint_directory import EndpointDirectory
from kelpcroft.decision.object_history import ObjectHistories
from kelpcroft.decision.requests import InFlightRequest
from kelpcroft.decision.settings import RequestClass, Settings


class RouterState:
    """The state of one router that the modules of the decision package share.

    Attributes:
        settings: The settings in effect.
        request_classes: The request classes of those settings, by name.
        now_ns: The time of the event that is being handled.
        actions: The actions that follow from that event so far, in order.
        histories: The request history of recently requested objects.
        directory: The servers of the endpoint list.
        requests_in_flight: Requests that await their final response or have attempts in flight, by their id,
            in order of arrival.
        router_share: This process's share of its router's budgets for cold servers, under 1 while another
            process of the same router may be sending requests too.
        origin_fills_allowed: False while no further fill of a cacheable object may be requested from the
            origin.
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
        """Put new classes and limits into effect.

        Requests in flight keep their class.  They are limited to the number of attempts allowed at their
        arrival, or to the new number if that is lower.  The router's own zone does not change.
        """
        self.settings = settings
        self.request_classes = {request_class.name: request_class for request_class in settings.classes}
