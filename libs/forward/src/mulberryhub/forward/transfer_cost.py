"""The cost of transfers between data centres."""

REMOTE_COST_MS_PER_KB = 6  # for transfers between data centres
ANSWER_KB_PER_TOKEN = 0.1  # of the maximum length of an answer
MIN_LINK_MBPS = 0.1  # of links that the settings give as slower, or as 0
KB_PER_MS_PER_MBPS = 1_000 / 8 / 1024


def fixed_transfer_cost(data_centre):
    """Return the function that returns the cost in ms of `call` at an upstream.

    Upstreams in `data_centre` cost nothing, all others the same for each KB.
    """

    def transfer_cost(call, upstream):
        if upstream.data_centre == data_centre:
            return 0
        return REMOTE_COST_MS_PER_KB * _transfer_kb(call)

    return transfer_cost


def measured_transfer_cost(data_centre, link_mbps, round_trip):
    """Return the function that returns the expected delay in ms by a transfer.

    Upstreams in `data_centre` cost nothing. To others, a transfer takes one
    `round_trip(data_centre)` in ms and the time that the VM's link of `link_mbps`
    Mbit/s needs for the request and its answer.
    """
    kb_per_ms = max(link_mbps, MIN_LINK_MBPS) * KB_PER_MS_PER_MBPS

    def transfer_cost(call, upstream):
        if upstream.data_centre == data_centre:
            return 0
        return round_trip(upstream.data_centre) + _transfer_kb(call) / kb_per_ms

    return transfer_cost


def _transfer_kb(call):
    answer_kb = ANSWER_KB_PER_TOKEN * (call.output_tokens or 0)
    return len(call.request.body) / 1024 + answer_kb
