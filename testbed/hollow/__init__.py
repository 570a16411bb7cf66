"""Routers without clients and servers, hundreds in a process, and the list service that they watch."""
