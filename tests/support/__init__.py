"""Helpers that several test modules share."""
