"""The one reducer and the state it owns, split by concern.  No socket and no clock."""
