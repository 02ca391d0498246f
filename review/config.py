"""A small configuration in the operator's format."""

HOST = "jepu9.example"
MODEL = "daka510000"
PLAIN_PATH = "/order/"
READ_PATH = "/read/"
CHAT_PATH = "/chat/"


def make_config(version, tenants, **changes):
    """Return a configuration with an order, a read and a resumable chat route."""
    config = {
        "version": version,
        "routes": [
            {
                "name": "order",
                "host": HOST,
                "pathPrefix": PLAIN_PATH,
                "type": "non_idempotent",
                "timeoutMs": 1000,
                "targetLatencyMs": 125,
                "priority": 1,
                "maxAttempts": 1,
                "service": "desk",
            },
            {
                "name": "read",
                "host": HOST,
                "pathPrefix": READ_PATH,
                "type": "idempotent",
                "timeoutMs": 1000,
                "targetLatencyMs": 125,
                "priority": 2,
                "maxAttempts": 2,
                "service": "desk",
            },
            {
                "name": "chat",
                "host": HOST,
                "pathPrefix": CHAT_PATH,
                "type": "streaming",
                "timeoutMs": 12000,
                "targetLatencyMs": 400,
                "targetGapMs": 300,
                "priority": 0,
                "maxAttempts": 2,
                "canResume": True,
                "sessionAffinity": True,
                "service": "lm",
            },
        ],
        "services": [
            {"name": "desk", "healthPath": "/health"},
            {
                "name": "lm",
                "healthPath": "/health",
                "engine": {
                    "models": [{"name": MODEL}],
                    "slots": 64,
                    "kvCapacity": 108_095,
                    "kvTokenBytes": 35_136,
                },
            },
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": tenants,
    }
    config.update(changes)
    return config


def make_tenant(name, *keys, **fields):
    """Return a tenant with keys and no quota."""
    tenant = {
        "name": name,
        "apiKeys": list(keys),
        "billingUnit": "token_stream",
        "uncachedTokens": 0,
        "isolated": False,
        "ratePerS": 0,
        "burst": 0,
        "priority": 1,
    }
    tenant.update(fields)
    return tenant


def chat_headers(id, key, deadline_ms=12_000):
    """Return the headers of a chat request."""
    return [
        ("X-Mulberryhub-Attempt-Id", id),
        ("X-Mulberryhub-Model", MODEL),
        ("X-Mulberryhub-Token-Count", "826,49"),
        ("X-Mulberryhub-Prompt-Prefix", "5c1e07a2:119,91bd3f06:79,e4402b7d:628"),
        ("X-Mulberryhub-Deadline-Ms", str(deadline_ms)),
        ("Authorization", f"Bearer {key}"),
    ]


def plain_headers(id, key, deadline_ms=1_000):
    """Return the headers of a request to a plain service."""
    return [
        ("X-Mulberryhub-Attempt-Id", id),
        ("X-Mulberryhub-Deadline-Ms", str(deadline_ms)),
        ("Authorization", f"Bearer {key}"),
    ]
