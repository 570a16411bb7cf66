"""Hollow routers (no clients, no servers; hundreds in one process) and the list service that they watch."""
