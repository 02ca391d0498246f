"""HTTP clients of the platform's log service and VM list."""
