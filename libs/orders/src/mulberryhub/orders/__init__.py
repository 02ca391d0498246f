"""At-most-once calls by idempotency key, and load orders to engines."""
