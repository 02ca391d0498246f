"""The cost of transfers between data centres."""

REMOTE_COST_MS_PER_KB = 6  # for transfers between data centres
ANSWER_KB_PER_TOKEN = 0.1  # of the maximum length of an answer


def fixed_transfer_cost(data_centre):
    """Return the function that returns the cost in ms of `call` at an upstream.

    Upstreams in `data_centre` cost nothing, all others the same for each KB.
    """

    def transfer_cost(call, upstream):
        if upstream.data_centre == data_centre:
            return 0
        transfer_kb = len(call.request.body) / 1024
        transfer_kb += ANSWER_KB_PER_TOKEN * (call.output_tokens or 0)
        return REMOTE_COST_MS_PER_KB * transfer_kb

    return transfer_cost
