"""The choice of an upstream for a request."""
