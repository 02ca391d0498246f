"""HTTP interface of a router: completions, service routes and administration."""
